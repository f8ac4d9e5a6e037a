#include "gateway/coordinator_lease.h"

#include "observe/log.h"

namespace bronzechute {

namespace {

constexpr std::chrono::seconds leaseTimeToLive {2};
constexpr std::chrono::milliseconds leaseRenewInterval {500};
constexpr std::chrono::milliseconds leaseAcquireInterval {400};
// The holder stops acting this long before the lease can expire, so that two coordinators never act at once.
constexpr std::chrono::milliseconds leaseSafetyMargin {400};

} // namespace

coordinator_lease::coordinator_lease(platform_store &store, std::string key, const std::string &node,
                                     const std::string &incarnation)
    : m_store(store), m_key(std::move(key)), m_node(node + "/"), m_owner(m_node + incarnation), m_thread([this] {
        run();
    })
{
}

coordinator_lease::~coordinator_lease()
{
    stop();
    m_thread.join();
}

void coordinator_lease::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

void coordinator_lease::setCampaigning(bool campaigning)
{
    const std::scoped_lock lock(m_mutex);
    if (campaigning != m_campaigning) {
        m_campaigning = campaigning;
        m_changed.notify_all();
    }
}

std::int64_t coordinator_lease::term(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    return now < m_validUntil ? m_term : 0;
}

void coordinator_lease::takeOverFromPredecessor()
{
    const auto current = m_store.get(m_key);
    if (current && current.value() && current.value()->value.starts_with(m_node)) {
        acquire(current.value()->modRevision);
    }
}

void coordinator_lease::run()
{
    takeOverFromPredecessor();
    for (;;) {
        bool campaigning = false;
        {
            std::unique_lock lock(m_mutex);
            const auto pause = m_lease != 0 ? leaseRenewInterval : leaseAcquireInterval;
            if (m_lease == 0 && !m_campaigning) {
                m_changed.wait(lock, [this] { return m_stopping || m_campaigning; });
            } else {
                m_changed.wait_for(lock, pause, [this] { return m_stopping; });
            }
            if (m_stopping) {
                break;
            }
            campaigning = m_campaigning;
        }
        if (m_lease != 0) {
            renew();
        } else if (campaigning) {
            acquire(0);
        }
    }
    if (m_lease != 0) {
        const lease_id held = m_lease;
        loseLease("gateway is shutting down");
        const auto revoked = m_store.revokeLease(held);
        if (!revoked) {
            logLine(log_level::info, "coordinator", "lease could not be revoked and will expire",
                    {{"cause", revoked.error().toString()}});
        }
    }
}

void coordinator_lease::acquire(std::int64_t expectedRevision)
{
    const time_point requestedAt = boot_clock::now();
    const auto lease = m_store.grantLease(leaseTimeToLive);
    if (!lease) {
        return; // The watches of the store log the failure; the next attempt follows.
    }
    const auto written = m_store.compareAndSwap(m_key, expectedRevision, m_owner, lease.value());
    std::int64_t revision = 0;
    if (written) {
        revision = written.value();
    } else if (written.error().code == errc::outcome_unknown) {
        const auto current = m_store.get(m_key);
        const bool own = current && current.value() && current.value()->value == m_owner;
        revision = own ? current.value()->modRevision : 0;
    }
    if (revision == 0) {
        const auto revoked = m_store.revokeLease(lease.value());
        (void)revoked; // A lease that cannot be revoked expires by itself.
        return;
    }
    m_lease = lease.value();
    logLine(log_level::info, "coordinator", "elected as coordinator of expert maps", {{"term", revision}});
    const std::scoped_lock lock(m_mutex);
    m_term = revision;
    m_validUntil = requestedAt + leaseTimeToLive - leaseSafetyMargin;
}

void coordinator_lease::renew()
{
    const time_point requestedAt = boot_clock::now();
    const auto renewed = m_store.keepAlive(m_lease);
    if (renewed) {
        const std::scoped_lock lock(m_mutex);
        m_validUntil = requestedAt + leaseTimeToLive - leaseSafetyMargin;
    } else if (renewed.error().code == errc::not_found) {
        loseLease("lease expired");
    } else if (boot_clock::now() >= m_validUntil) {
        loseLease("lease could not be renewed in time");
    }
}

void coordinator_lease::loseLease(const char *cause)
{
    logLine(log_level::warn, "coordinator", "no longer coordinator of expert maps", {{"cause", cause}});
    m_lease = 0;
    const std::scoped_lock lock(m_mutex);
    m_term = 0;
    m_validUntil = {};
}

} // namespace bronzechute
