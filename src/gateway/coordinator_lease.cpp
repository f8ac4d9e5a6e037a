#include "gateway/coordinator_lease.h"

#include "observe/log.h"

namespace bronzechute {

namespace {

constexpr std::chrono::seconds timeToLive {2};
constexpr std::chrono::milliseconds renewInterval {500};
constexpr std::chrono::milliseconds acquireInterval {400};
// The holder stops this long before the store lets the lease lapse, so that two never act at once.
constexpr std::chrono::milliseconds safetyMargin {400};

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

void coordinator_lease::setWanted(bool wanted)
{
    const std::scoped_lock lock(m_mutex);
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_changed.notify_all();
    }
}

std::int64_t coordinator_lease::term(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    return now < m_validUntil ? m_term : 0;
}

void coordinator_lease::succeed()
{
    const auto current = m_store.get(m_key);
    if (current && current.value() && current.value()->value.starts_with(m_node)) {
        acquire(current.value()->modRevision);
    }
}

void coordinator_lease::run()
{
    succeed();
    for (;;) {
        bool wanted = false;
        {
            std::unique_lock lock(m_mutex);
            const auto pause = m_lease != 0 ? renewInterval : acquireInterval;
            if (m_lease == 0 && !m_wanted) {
                m_changed.wait(lock, [this] { return m_stopping || m_wanted; });
            } else {
                m_changed.wait_for(lock, pause, [this] { return m_stopping; });
            }
            if (m_stopping) {
                break;
            }
            wanted = m_wanted;
        }
        if (m_lease != 0) {
            renew();
        } else if (wanted) {
            acquire(0);
        }
    }
    if (m_lease != 0) {
        const lease_id held = m_lease;
        drop("the gateway stops");
        const auto ended = m_store.revokeLease(held);
        if (!ended) {
            logLine(log_level::info, "coordinator", "lease left to lapse", {{"cause", ended.error().toString()}});
        }
    }
}

void coordinator_lease::acquire(std::int64_t expectedRevision)
{
    const time_point askedAt = boot_clock::now();
    const auto lease = m_store.grantLease(timeToLive);
    if (!lease) {
        return; // Logged by the store's watches; the next attempt follows.
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
        const auto ended = m_store.revokeLease(lease.value());
        (void)ended; // A lease that cannot be ended lapses by itself.
        return;
    }
    m_lease = lease.value();
    logLine(log_level::info, "coordinator", "became the coordinator of expert maps", {{"term", revision}});
    const std::scoped_lock lock(m_mutex);
    m_term = revision;
    m_validUntil = askedAt + timeToLive - safetyMargin;
}

void coordinator_lease::renew()
{
    const time_point askedAt = boot_clock::now();
    const auto renewed = m_store.keepAlive(m_lease);
    if (renewed) {
        const std::scoped_lock lock(m_mutex);
        m_validUntil = askedAt + timeToLive - safetyMargin;
    } else if (renewed.error().code == errc::not_found) {
        drop("the lease has lapsed");
    } else if (boot_clock::now() >= m_validUntil) {
        drop("the lease could not be renewed");
    }
}

void coordinator_lease::drop(const char *cause)
{
    logLine(log_level::warn, "coordinator", "no longer the coordinator of expert maps", {{"cause", cause}});
    m_lease = 0;
    const std::scoped_lock lock(m_mutex);
    m_term = 0;
    m_validUntil = {};
}

} // namespace bronzechute
