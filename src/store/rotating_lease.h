#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "store/platform_store.h"

#include <chrono>

namespace bronzechute {

/**
 * Leases for keys that live at least a given time and are then dropped by the store.
 *
 * One lease is shared by all keys of a period, so that a key does not cost a call for a lease of its own.
 */
class rotating_lease
{
public:
    /** @param store must outlive this object */
    explicit rotating_lease(platform_store &store, std::chrono::seconds keyLifetime = std::chrono::hours(24),
                            std::chrono::seconds period = std::chrono::hours(1));

    /** @returns a lease that lasts at least the lifetime of a key. */
    result<lease_id> current();

    /** The store does not know the lease any more; the next call of current() gets another one. */
    void forget(lease_id lease);

private:
    platform_store &m_store;
    const std::chrono::seconds m_keyLifetime;
    const std::chrono::seconds m_period;
    ranked_mutex m_mutex {lock_rank::leaf};
    lease_id m_lease = 0;
    time_point m_usableUntil;
};

} // namespace bronzechute
