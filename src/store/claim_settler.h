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

/** A claim that this process holds. */
struct held_claim
{
    std::string key; ///< In the store.
    std::int64_t modRevision = 0; ///< 0: unknown, because the claim could not be confirmed.
    claim_record record;

    friend bool operator==(const held_claim &, const held_claim &) = default;
};

/**
 * Brings claims of this process to their final state, and goes on in the background while the store is out.
 */
class claim_settler
{
public:
    /** @param store and @param lease must outlive this object */
    claim_settler(platform_store &store, rotating_lease &lease);

    /** Makes one more attempt for each pending claim. */
    ~claim_settler();
    claim_settler(const claim_settler &) = delete;
    claim_settler &operator=(const claim_settler &) = delete;

    /**
     * Writes the record in place of the held one, which is at state started and has the same mark.
     *
     * A released record stays in the store, because a delayed write of the claim could otherwise still create it.
     * @returns success; errc::stale when the store holds the claim no more; errc::unavailable when it is tried again
     *          in the background
     */
    result<void> settle(held_claim claim);

    /** Leaves the whole work to the background thread. */
    void settleLater(held_claim claim);

    /** @returns how many claims are still to be settled. */
    std::size_t pending() const;

private:
    result<void> attempt(const held_claim &claim);
    result<std::int64_t> findVersion(const held_claim &claim, bool &done);
    void run();
    void runOnce();

    platform_store &m_store;
    rotating_lease &m_lease;
    mutable ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_wake;
    std::deque<held_claim> m_pending;
    std::size_t m_pendingBytes = 0; ///< Of answers.
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
