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
 * Shows in the store that this incarnation of the process lives, by a key under a short lease.
 *
 * A process that is cut off from the store or paused longer than the lease counts as dead although it may live; others
 * may conclude only that they do not know what became of its work.
 */
class incarnation_lease
{
public:
    /**
     * @param store must outlive this object
     * @param incarnation random identifier of this process, unique among all processes
     */
    incarnation_lease(platform_store &store, std::string incarnation,
                      std::chrono::seconds timeToLive = std::chrono::seconds(10));

    /** Takes the key back, so that others need not wait for the lease to lapse. */
    ~incarnation_lease();
    incarnation_lease(const incarnation_lease &) = delete;
    incarnation_lease &operator=(const incarnation_lease &) = delete;

    const std::string &incarnation() const
    {
        return m_incarnation;
    }

    /** @returns whether the key was written and its lease kept at the last attempt. */
    bool registered() const
    {
        return m_lease.load() != 0;
    }

    /** @returns whether the other incarnation lives as far as the store knows. */
    result<bool> alive(const std::string &incarnation);

private:
    void run();
    void keepRegistered();

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
