#pragma once

#include "base/ranked_mutex.h"
#include "store/platform_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <string>
#include <thread>

namespace bronzechute {

/**
 * Registers this incarnation of the process in the store as alive, by a key under a short lease.
 *
 * A process that loses its connection to the store or is paused for longer than the lease is considered dead although
 * it may still be running. Other processes may therefore conclude only that the outcome of its work is unknown.
 */
class incarnation_lease
{
public:
    /**
     * @param store must outlive this object
     * @param incarnation random identifier of this process, unique among all processes
     * @param timeToLive time after which the key expires unless the lease is renewed
     */
    incarnation_lease(platform_store &store, std::string incarnation,
                      std::chrono::seconds timeToLive = std::chrono::seconds(10));

    /** Revokes the lease, so that other processes need not wait for it to expire. */
    ~incarnation_lease();
    incarnation_lease(const incarnation_lease &) = delete;
    incarnation_lease &operator=(const incarnation_lease &) = delete;

    const std::string &incarnation() const
    {
        return m_incarnation;
    }

    /** @returns whether the key is written and its lease is not known to have expired. */
    bool isRegistered() const
    {
        return m_lease.load() != 0;
    }

    /** @returns whether the store holds an unexpired registration of the given incarnation. */
    result<bool> isAlive(const std::string &incarnation);

private:
    void run();
    void renewRegistration();

    platform_store &m_store;
    const std::string m_incarnation;
    const std::chrono::seconds m_timeToLive;
    std::atomic<lease_id> m_lease {0};
    ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_stopChanged;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
