#pragma once

#include "base/ranked_mutex.h"
#include "gateway/coordinator_term.h"
#include "store/platform_store.h"

#include <condition_variable>
#include <cstdint>
#include <string>
#include <thread>

namespace bronzechute {

/**
 * Makes one gateway of a deployment the coordinator of expert maps, by a key of the platform's store under a lease.
 * Calls to the store are made by a thread of its own.
 */
class coordinator_lease : public coordinator_term
{
public:
    /**
     * @param store must outlive this object
     * @param node of this process: an earlier process of the same node has ended, so that its lease is taken over
     * @param incarnation unique to this process
     */
    coordinator_lease(platform_store &store, std::string key, const std::string &node, const std::string &incarnation);
    ~coordinator_lease() override;
    coordinator_lease(const coordinator_lease &) = delete;
    coordinator_lease &operator=(const coordinator_lease &) = delete;

    /** @param wanted whether to try to become the coordinator while no other one is known */
    void setWanted(bool wanted);

    /** Ends the lease, and with it this object's part, without waiting for the store. */
    void stop();

    std::int64_t term(time_point now) const override;

private:
    void run();
    void succeed();
    void acquire(std::int64_t expectedRevision);
    void renew();
    void drop(const char *cause);

    platform_store &m_store;
    const std::string m_key;
    const std::string m_node; ///< Begin of the value that processes of this node write.
    const std::string m_owner;
    mutable ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_changed;
    bool m_wanted = false;
    bool m_stopping = false;
    std::int64_t m_term = 0;
    time_point m_validUntil {};
    lease_id m_lease = 0; ///< Used by the thread only.
    std::thread m_thread;
};

} // namespace bronzechute
