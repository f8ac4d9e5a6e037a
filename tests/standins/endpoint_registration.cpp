#include "standins/endpoint_registration.h"

#include <mutex>

namespace bronzechute::standins {

namespace {

constexpr std::chrono::milliseconds heartbeat {300};
constexpr std::chrono::seconds timeToLive {1};
constexpr std::chrono::milliseconds storeTimeout {1000};
// Requests under way at gateways when the store has taken the entry of a leaving endpoint still arrive.
constexpr std::chrono::milliseconds leavingBound {2000};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

endpoint_registration::endpoint_registration(const std::string &storeUrl, routed_endpoint_options options,
                                             std::string address, std::string dataCentre, routed_endpoint &endpoint)
    : m_store(storeUrl, storeTimeout)
    , m_options(std::move(options))
    , m_address(std::move(address))
    , m_dataCentre(std::move(dataCentre))
    , m_key("servers/" + m_options.id)
    , m_born(unixMilliseconds())
    , m_endpoint(endpoint)
    , m_thread([this] { run(); })
{
}

endpoint_registration::~endpoint_registration()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void endpoint_registration::announceLeaving()
{
    m_endpoint.sayLeaving();
    {
        const std::scoped_lock lock(m_mutex);
        m_leaving = true;
    }
    m_changed.notify_all();
}

void endpoint_registration::run()
{
    bool written = false; // Whether the store has the entry as it is meant to be.
    bool leavingWritten = false;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const bool leaving = m_leaving;
        lock.unlock();
        if (written && leaving == leavingWritten) {
            written = bool(m_store.keepAlive(m_lease));
        }
        if (!written || leaving != leavingWritten) {
            written = write();
            leavingWritten = written ? leaving : leavingWritten;
            if (written && leaving) {
                m_endpoint.leaveAfter(leavingBound);
            }
        }
        lock.lock();
        m_changed.wait_for(lock, heartbeat, [&] { return m_stopping || m_leaving != leaving; });
    }
}

bool endpoint_registration::write()
{
    const auto lease = m_store.grantLease(timeToLive);
    if (!lease) {
        return false;
    }
    const auto current = m_store.get(m_key);
    if (!current) {
        return false;
    }
    const std::int64_t revision = current.value() ? current.value()->modRevision : 0;
    m_lease = lease.value();
    return bool(m_store.compareAndSwap(m_key, revision, entry().dump(), m_lease));
}

nlohmann::json endpoint_registration::entry()
{
    const std::scoped_lock lock(m_mutex);
    return {{"service", m_options.service},
            {"address", m_address},
            {"zone", m_dataCentre},
            {"version", "1"},
            {"slots", m_options.slots},
            {"state", m_leaving ? "draining" : "ready"},
            {"cold_remaining_ms", m_endpoint.coldRemaining().count()},
            {"sequence", ++m_sequence},
            {"born", m_born}};
}

} // namespace bronzechute::standins
