#include "store/rotating_lease.h"

#include <mutex>

namespace bronzechute {

rotating_lease::rotating_lease(platform_store &store, std::chrono::seconds keyLifetime, std::chrono::seconds period)
    : m_store(store), m_keyLifetime(keyLifetime), m_period(period)
{
}

result<lease_id> rotating_lease::current()
{
    // Taken before the call, because the lease may start at any time between the call and its response.
    const time_point now = boot_clock::now();
    {
        const std::scoped_lock lock(m_mutex);
        if (m_lease != 0 && now < m_usableUntil) {
            return m_lease;
        }
    }
    // Concurrent callers are each granted a lease; all of them are valid and the last one is shared.
    const auto lease = m_store.grantLease(m_keyLifetime + m_period);
    if (!lease) {
        return lease.error();
    }
    const std::scoped_lock lock(m_mutex);
    m_lease = lease.value();
    m_usableUntil = now + m_period;
    return m_lease;
}

void rotating_lease::invalidate(lease_id lease)
{
    const std::scoped_lock lock(m_mutex);
    if (m_lease == lease) {
        m_lease = 0;
    }
}

} // namespace bronzechute
