#pragma once

#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** A value of the store with the versions that compare-and-swap uses. */
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< Store revision of the last change of this key; 0 means the key is absent.

    friend bool operator==(const store_entry &, const store_entry &) = default;
};

/** One change that a watch reports. */
struct store_event
{
    bool deleted = false;
    store_entry entry; ///< For a deletion only the key and the revision are set.
    bool moreFollow = false; ///< Further events of the same listing or message follow at once.
    bool afterOutage = false; ///< The store was out of reach until just before; a deletion may stem from lapsed leases.

    friend bool operator==(const store_event &, const store_event &) = default;
};

using lease_id = std::int64_t; ///< 0 means no lease.

/** One write that takes effect only if its key has the expected version. */
struct store_write
{
    std::string key;
    std::int64_t expectedModRevision = 0; ///< 0: the key must be absent.
    std::string value;
    lease_id lease = 0;

    friend bool operator==(const store_write &, const store_write &) = default;
};

/**
 * A running watch. Destroying it ends the watch; no callback runs after the destructor returns.
 */
class store_watch
{
public:
    virtual ~store_watch() = default;
};

/**
 * The platform's key-value service: get, compare-and-swap, lease and watch.
 *
 * Calls block until the answer or the adapter's timeout. errc::unavailable means that the call had no effect;
 * errc::outcome_unknown means that a write may have taken effect and has to be read back. Safe to call from any thread.
 */
class platform_store
{
public:
    static constexpr std::size_t maxGroup = 100; ///< Below etcd's default limit of 128 operations in a transaction.

    virtual ~platform_store() = default;

    /** @returns the entry, or nothing when the key is absent. */
    virtual result<std::optional<store_entry>> get(const std::string &key) = 0;

    /** @returns all entries whose key begins with the prefix, in key order. */
    virtual result<std::vector<store_entry>> list(const std::string &prefix) = 0;

    /**
     * Writes the value if the key's modRevision equals the expected one (0: the key must be absent).
     * @returns the new modRevision; errc::conflict when the key has another version.
     */
    virtual result<std::int64_t> compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                                const std::string &value, lease_id lease = 0) = 0;

    /**
     * Makes all writes in one transaction if every key has its expected version, or none.
     * @param writes with distinct keys, at most maxGroup
     * @returns the new modRevision, which all keys share; errc::conflict when a key has another version.
     */
    virtual result<std::int64_t> compareAndSwapAll(const std::vector<store_write> &writes) = 0;

    /**
     * Makes each write whose key has its expected version, in one call to the store.
     * @param writes with distinct keys, at most maxGroup
     * @returns for each write, what compareAndSwap would return.
     */
    virtual std::vector<result<std::int64_t>> compareAndSwapEach(const std::vector<store_write> &writes) = 0;

    /** Deletes the key if its modRevision equals the expected one. */
    virtual result<void> compareAndDelete(const std::string &key, std::int64_t expectedModRevision) = 0;

    /** @returns a lease that lapses unless kept alive within its time to live. */
    virtual result<lease_id> grantLease(std::chrono::seconds timeToLive) = 0;

    /** @returns errc::not_found when the lease has lapsed. */
    virtual result<void> keepAlive(lease_id lease) = 0;

    virtual result<void> revokeLease(lease_id lease) = 0;

    /**
     * Calls back for each change of keys with the prefix, from one thread at a time. The watch reconnects by itself
     * and, after each (re)connection, first lists the prefix and reports every present entry, so that no change is
     * missed; a caller has to tolerate repeated and older events. Keys that vanished in between are
     * reported as deleted. The watch must not be destroyed from its own callback.
     */
    virtual std::unique_ptr<store_watch> watch(const std::string &prefix,
                                               std::function<void(const store_event &)> onEvent) = 0;
};

} // namespace bronzechute
