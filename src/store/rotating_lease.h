#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "store/platform_store.h"

#include <chrono>

namespace bronzechute {

/**
 * Provides leases for keys that are to exist for at least a given time before the store deletes them.
 *
 * All keys written within one period share a lease, so that writing a key does not need a call to grant a lease.
 */
class rotating_lease
{
public:
    /**
     * @param store must outlive this object
     * @param keyLifetime time for which a key exists at least
     * @param period time for which a lease is used for new keys
     */
    explicit rotating_lease(platform_store &store, std::chrono::seconds keyLifetime = std::chrono::hours(24),
                            std::chrono::seconds period = std::chrono::hours(1));

    /** @returns a lease that lasts for at least the lifetime of a key from now on; grants a new one when needed. */
    result<lease_id> current();

    /** Discards a lease that the store no longer knows, so that the next call of current() grants a new one. */
    void invalidate(lease_id lease);

private:
    platform_store &m_store;
    const std::chrono::seconds m_keyLifetime;
    const std::chrono::seconds m_period;
    ranked_mutex m_mutex {lock_rank::leaf};
    lease_id m_lease = 0;
    time_point m_usableUntil;
};

} // namespace bronzechute
