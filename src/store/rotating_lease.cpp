#include "store/rotating_lease.h"

#include <mutex>

namespace bronzechute {

rotating_lease::rotating_lease(platform_store &store, std::chrono::seconds keyLifetime, std::chrono::seconds period)
    : m_store(store), m_keyLifetime(keyLifetime), m_period(period)
{
}

result<lease_id> rotating_lease::current()
{
    // The period begins before the call, since the lease does not begin later than its answer.
    const time_point now = boot_clock::now();
    {
        const std::scoped_lock lock(m_mutex);
        if (m_lease != 0 && now < m_usableUntil) {
            return m_lease;
        }
    }
    // Threads that come here together get a lease each; all are valid and the last one is shared.
    const auto lease = m_store.grantLease(m_keyLifetime + m_period);
    if (!lease) {
        return lease.error();
    }
    const std::scoped_lock lock(m_mutex);
    m_lease = lease.value();
    m_usableUntil = now + m_period;
    return m_lease;
}

void rotating_lease::forget(lease_id lease)
{
    const std::scoped_lock lock(m_mutex);
    if (m_lease == lease) {
        m_lease = 0;
    }
}

} // namespace bronzechute
