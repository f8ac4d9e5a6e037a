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
 * Leader election among the gateways of a deployment: the holder of a leased key in the platform's store coordinates
 * the expert maps. A separate thread makes the blocking calls to the store.
 */
class coordinator_lease : public coordinator_term
{
public:
    /**
     * @param store must outlive this object
     * @param node of this process. A lease that an earlier process of the same node left behind is taken over
     * @param incarnation unique to this process
     */
    coordinator_lease(platform_store &store, std::string key, const std::string &node, const std::string &incarnation);
    ~coordinator_lease() override;
    coordinator_lease(const coordinator_lease &) = delete;
    coordinator_lease &operator=(const coordinator_lease &) = delete;

    /** @param campaigning whether to try to acquire the lease */
    void setCampaigning(bool campaigning);

    /** Asks the thread to revoke the lease and to end; does not wait for the store. */
    void stop();

    std::int64_t term(time_point now) const override;

private:
    void run();
    void takeOverFromPredecessor();
    void acquire(std::int64_t expectedRevision);
    void renew();
    void loseLease(const char *cause);

    platform_store &m_store;
    const std::string m_key;
    const std::string m_node; ///< Prefix of the value that processes of this node write.
    const std::string m_owner;
    mutable ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_changed;
    bool m_campaigning = false;
    bool m_stopping = false;
    std::int64_t m_term = 0;
    time_point m_validUntil {};
    lease_id m_lease = 0; ///< Accessed by m_thread only.
    std::thread m_thread;
};

} // namespace bronzechute
