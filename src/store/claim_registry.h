#pragma once

#include "base/ranked_mutex.h"
#include "store/claim_settler.h"
#include "store/incarnation_lease.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace bronzechute {

/** An idempotency key and the request that came with it. */
struct claim_request
{
    std::string service;
    std::string account;
    std::string key; ///< Value of the header Idempotency-Key.
    std::string fingerprint; ///< Digest of method, path and body.

    friend bool operator==(const claim_request &, const claim_request &) = default;
};

/** What the caller of a claim has to do. */
enum class claim_verdict {
    claimed, ///< Run the request, then finish() or release().
    in_progress, ///< Another request with the key may be running; answer 409.
    finished, ///< The request has run; give the first answer.
    unknown, ///< The request may have run; its answer is lost.
    fingerprint_differs, ///< The key belongs to a different request; answer 422.
};

/** The answer to a claim. */
struct claim_outcome
{
    claim_verdict verdict = claim_verdict::unknown;
    held_claim claim; ///< Only when claimed.
    http_answer answer; ///< Only when finished.

    friend bool operator==(const claim_outcome &, const claim_outcome &) = default;
};

/**
 * At most one run for each idempotency key, by a key in the store that is created before the request runs.
 *
 * Nothing may run unless claim() returned claimed. Safe to call from any thread; calls block.
 */
class claim_registry
{
public:
    /** Bytes of a response body that a claim keeps. */
    static constexpr std::size_t answerLimit = std::size_t {256} * 1024;

    /**
     * @param store must outlive this object
     * @param settleTime how long claim() tries to find out what became of a write with an unknown outcome
     */
    claim_registry(platform_store &store, incarnation_lease &incarnation, std::uint64_t seed,
                   std::chrono::milliseconds settleTime = std::chrono::seconds(3));

    /** @returns errc::unavailable when the key could not be claimed: the request must not run, and has not. */
    result<claim_outcome> claim(const claim_request &request);

    /**
     * Keeps the answer for later requests with the key.
     * @returns errc::unavailable when the store is out; the registry goes on trying then
     */
    result<void> finish(const held_claim &claim, const http_answer &answer);

    /** Keeps that the request may have run and that its answer is lost. @returns as finish() does. */
    result<void> loseAnswer(const held_claim &claim);

    /** Frees the key of a request that was proved not to have run. @returns as finish() does. */
    result<void> release(const held_claim &claim);

    /** @returns how many claims wait for the store to be settled. */
    std::size_t pending() const
    {
        return m_settler.pending();
    }

    /** @returns "/bronzechute/claims/<service>/<SHA-256 of account and key>". */
    static std::string storeKey(const claim_request &request);

private:
    result<claim_outcome> judge(const claim_request &request, const claim_record &record);
    result<claim_outcome> giveUp(const held_claim &claim, bool maySend, const error &reason);

    platform_store &m_store;
    incarnation_lease &m_incarnation;
    const std::chrono::milliseconds m_settleTime;
    rotating_lease m_lease;
    claim_settler m_settler;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::mt19937_64 m_random;
};

} // namespace bronzechute
