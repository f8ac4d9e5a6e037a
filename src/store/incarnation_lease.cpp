#include "store/incarnation_lease.h"

#include "store/store_paths.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds leaseRetryInterval {500};

} // namespace

incarnation_lease::incarnation_lease(platform_store &store, std::string incarnation, std::chrono::seconds timeToLive)
    : m_store(store), m_incarnation(std::move(incarnation)), m_timeToLive(timeToLive)
{
    m_thread = std::thread([this] { run(); });
}

incarnation_lease::~incarnation_lease()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_stopChanged.notify_all();
    m_thread.join();
    if (m_lease != 0) {
        static_cast<void>(m_store.revokeLease(m_lease)); // On failure the lease expires by itself.
    }
}

result<bool> incarnation_lease::isAlive(const std::string &incarnation)
{
    const auto entry = m_store.get(store_paths::incarnations + incarnation);
    if (!entry) {
        return entry.error();
    }
    return entry.value().has_value();
}

void incarnation_lease::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        renewRegistration();
        lock.lock();
        // Two renewals may fail before the lease expires.
        const std::chrono::milliseconds wait =
            m_lease == 0 ? leaseRetryInterval : std::chrono::milliseconds(m_timeToLive) / 3;
        m_stopChanged.wait_for(lock, wait, [this] { return m_stopping; });
    }
}

void incarnation_lease::renewRegistration()
{
    if (m_lease != 0) {
        const auto kept = m_store.keepAlive(m_lease);
        if (kept || kept.error().code != errc::not_found) {
            return; // During an outage of the store the lease may still be valid.
        }
        m_lease = 0;
    }
    const auto lease = m_store.grantLease(m_timeToLive);
    if (!lease) {
        return;
    }
    const std::string key = store_paths::incarnations + m_incarnation;
    const auto present = m_store.get(key);
    if (!present) {
        return;
    }
    const std::int64_t version = present.value() ? present.value()->modRevision : 0;
    if (m_store.compareAndSwap(key, version, "{}", lease.value())) {
        m_lease = lease.value();
    }
}

} // namespace bronzechute
