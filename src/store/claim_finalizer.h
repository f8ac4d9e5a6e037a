#pragma once

#include "base/ranked_mutex.h"
#include "store/claim_record.h"
#include "store/platform_store.h"
#include "store/rotating_lease.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>

namespace bronzechute {

/** A claim held by this process. */
struct held_claim
{
    std::string key; ///< Key of the record in the store.
    std::int64_t modRevision = 0; ///< 0 when unknown because the write was not confirmed.
    claim_record record;

    friend bool operator==(const held_claim &, const held_claim &) = default;
};

/**
 * Writes the final state of claims held by this process, retrying in the background while the store is unavailable.
 */
class claim_finalizer
{
public:
    /**
     * @param store must outlive this object
     * @param lease must outlive this object
     */
    claim_finalizer(platform_store &store, rotating_lease &lease);

    /** Stops the background thread after one last attempt for each pending claim. */
    ~claim_finalizer();
    claim_finalizer(const claim_finalizer &) = delete;
    claim_finalizer &operator=(const claim_finalizer &) = delete;

    /**
     * Replaces the stored record, which is in state started and has the same write identifier, by the given one.
     *
     * A released record stays in the store. If it were deleted, a delayed write of the claim could create it again.
     * @returns errc::stale when the store no longer holds the claim; errc::unavailable when the write failed and is
     *          retried in the background
     */
    result<void> finalize(held_claim claim);

    /** Queues the claim for the background thread without attempting a write first. */
    void finalizeInBackground(held_claim claim);

    /** @returns the number of claims queued for the background thread. */
    std::size_t pending() const;

private:
    result<void> tryFinalize(const held_claim &claim);
    result<std::int64_t> findExpectedRevision(const held_claim &claim, bool &nothingToWrite);
    void run();
    void finalizePending();

    platform_store &m_store;
    rotating_lease &m_lease;
    mutable ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_wake;
    std::deque<held_claim> m_pending;
    std::size_t m_pendingBytes = 0; ///< Total size of the answer bodies in m_pending.
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
