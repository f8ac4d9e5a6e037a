#pragma once

#include "base/ranked_mutex.h"
#include "kv_platform_store.h"
#include "standins/routed_endpoint.h"

#include <condition_variable>
#include <string>
#include <thread>

namespace bronzechute::standins {

/** Keeps the entry of a routed_endpoint in the store's stand-in, as endpoints of the users' platform do. */
class endpoint_registration
{
public:
    /** @param address that the entry names */
    endpoint_registration(const std::string &storeUrl, routed_endpoint_options options, std::string address,
                          std::string dataCentre, routed_endpoint &endpoint);
    ~endpoint_registration();
    endpoint_registration(const endpoint_registration &) = delete;
    endpoint_registration &operator=(const endpoint_registration &) = delete;

    /** Says that the endpoint is leaving: in its answers from now on, and in its entry as soon as the store takes it.
     */
    void announceLeaving();

private:
    void run();
    bool write();
    nlohmann::json entry();

    platform::kv_platform_store m_store;
    const routed_endpoint_options m_options;
    const std::string m_address;
    const std::string m_dataCentre;
    const std::string m_key;
    const std::int64_t m_born; ///< Unix time in milliseconds.
    routed_endpoint &m_endpoint;
    ranked_mutex m_mutex {lock_rank::role};
    std::condition_variable_any m_changed;
    bool m_leaving = false;
    bool m_stopping = false;
    std::int64_t m_sequence = 0;
    lease_id m_lease = 0;
    std::thread m_thread;
};

} // namespace bronzechute::standins
