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

/** A key and its value with the revision that compare-and-swap checks. */
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< Store revision of the last change of this key; 0 when the key is absent.

    friend bool operator==(const store_entry &, const store_entry &) = default;
};

/** One change reported by a watch. */
struct store_event
{
    bool deleted = false;
    store_entry entry; ///< For a deletion only the key and the mod revision are set.
    bool moreFollow = false; ///< More events of the same listing or message follow immediately.

    friend bool operator==(const store_event &, const store_event &) = default;
};

using lease_id = std::int64_t; ///< 0 means no lease.

/** A write that is applied only if its key has the expected mod revision. */
struct store_write
{
    std::string key;
    std::int64_t expectedModRevision = 0; ///< 0: the key must be absent.
    std::string value;
    lease_id lease = 0;

    friend bool operator==(const store_write &, const store_write &) = default;
};

/**
 * Handle of a running watch. Its destructor ends the watch; no callback runs after the destructor returns.
 */
class store_watch
{
public:
    virtual ~store_watch() = default;
};

/**
 * Interface of the platform's key-value store: get, compare-and-swap, leases and watches.
 *
 * Calls block until the response or the timeout of the implementation. errc::unavailable means that the call had no
 * effect; errc::outcome_unknown means that a write may have taken effect and has to be read back. Thread-safe.
 */
class platform_store
{
public:
    static constexpr std::size_t maxBatchSize = 100; ///< Below etcd's default of 128 operations in a transaction.

    virtual ~platform_store() = default;

    /** @returns the entry, or nothing when the key is absent. */
    virtual result<std::optional<store_entry>> get(const std::string &key) = 0;

    /** @returns all entries whose key begins with the prefix, ordered by key. */
    virtual result<std::vector<store_entry>> list(const std::string &prefix) = 0;

    /**
     * Writes the value if the mod revision of the key equals the expected one (0: the key must be absent).
     * @returns the new mod revision; errc::conflict when the key has another one; errc::not_found when the lease has
     *          expired
     */
    virtual result<std::int64_t> compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                                const std::string &value, lease_id lease = 0) = 0;

    /**
     * Applies all writes in one transaction if every key has its expected mod revision, and none otherwise.
     * @param writes with distinct keys, at most maxBatchSize
     * @returns the new mod revision, which all keys share; errc::conflict when a key has another one
     */
    virtual result<std::int64_t> compareAndSwapAll(const std::vector<store_write> &writes) = 0;

    /**
     * Applies each write whose key has its expected mod revision, independently of the others, in one store call.
     * @param writes with distinct keys, at most maxBatchSize
     * @returns for each write the result that compareAndSwap() would return
     */
    virtual std::vector<result<std::int64_t>> compareAndSwapEach(const std::vector<store_write> &writes) = 0;

    /** Deletes the key if its mod revision equals the expected one. @returns errc::conflict when it does not. */
    virtual result<void> compareAndDelete(const std::string &key, std::int64_t expectedModRevision) = 0;

    /** @returns a new lease, which expires unless it is renewed within its time to live. */
    virtual result<lease_id> grantLease(std::chrono::seconds timeToLive) = 0;

    /** Renews the lease. @returns errc::not_found when it has expired. */
    virtual result<void> keepAlive(lease_id lease) = 0;

    /** Ends the lease, which deletes its keys; an unknown lease is not an error. */
    virtual result<void> revokeLease(lease_id lease) = 0;

    /**
     * Calls back for each change of a key with the prefix, from one thread at a time.
     *
     * The watch reconnects automatically. After each connection it lists the prefix and reports every existing entry,
     * and reports keys that were removed in the meantime as deleted, so that no final state is missed. An
     * implementation may report deletions late after an outage, when leases may have expired. Callers have to tolerate
     * repeated and outdated events. The watch must not be destroyed from its own callback.
     */
    virtual std::unique_ptr<store_watch> watch(const std::string &prefix,
                                               std::function<void(const store_event &)> onEvent) = 0;
};

} // namespace bronzechute
