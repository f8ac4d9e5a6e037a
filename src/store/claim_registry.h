#pragma once

#include "base/ranked_mutex.h"
#include "store/claim_finalizer.h"
#include "store/incarnation_lease.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace bronzechute {

/** An idempotency key together with the request that carries it. */
struct claim_request
{
    std::string service;
    std::string account;
    std::string key; ///< Value of the Idempotency-Key header.
    std::string fingerprint; ///< Digest of method, path and body.

    friend bool operator==(const claim_request &, const claim_request &) = default;
};

/** Result of claiming a key; tells the caller how to proceed with the request. */
enum class claim_verdict {
    claimed, ///< Run the request, then call finish(), finishWithoutAnswer() or release().
    in_progress, ///< Another request with this key may be running; answer with status 409.
    finished, ///< The request has run; replay the stored answer.
    unknown, ///< The request may have run, but its answer is not available.
    fingerprint_differs, ///< The key was used for a different request; answer with status 422.
};

/** Verdict on a claim, with the claim or the stored answer where there is one. */
struct claim_outcome
{
    claim_verdict verdict = claim_verdict::unknown;
    held_claim claim; ///< Set only for the verdict claimed.
    http_answer answer; ///< Set only for the verdict finished.

    friend bool operator==(const claim_outcome &, const claim_outcome &) = default;
};

/**
 * Ensures that a request runs at most once per idempotency key by creating a record in the store before it runs.
 *
 * A caller may run the request only when claim() returns claim_verdict::claimed. Thread-safe; calls block on the store.
 */
class claim_registry
{
public:
    /** Largest response body that is stored with a claim, in bytes. */
    static constexpr std::size_t answerLimit = std::size_t {256} * 1024;

    /**
     * @param store must outlive this object
     * @param resolveTimeout how long claim() keeps trying to resolve a write with an unknown outcome
     */
    claim_registry(platform_store &store, incarnation_lease &incarnation, std::uint64_t seed,
                   std::chrono::milliseconds resolveTimeout = std::chrono::seconds(3));

    /**
     * Claims the key for the request, or reports what is known about an earlier request with the same key.
     * @returns errc::unavailable when the key could not be claimed; the request has not run and must not be run
     */
    result<claim_outcome> claim(const claim_request &request);

    /**
     * Stores the answer so that later requests with the key receive it.
     * @returns errc::unavailable when the store is unavailable; the registry then retries in the background
     */
    result<void> finish(const held_claim &claim, const http_answer &answer);

    /** Records that the request may have run but has no stored answer. Errors are those of finish(). */
    result<void> finishWithoutAnswer(const held_claim &claim);

    /** Releases the key of a request that is known not to have run. Errors are those of finish(). */
    result<void> release(const held_claim &claim);

    /** @returns the number of claims whose final state has not been written to the store yet. */
    std::size_t pending() const
    {
        return m_finalizer.pending();
    }

    /** @returns the store key "/bronzechute/claims/<service>/<SHA-256 of account and key>". */
    static std::string storeKey(const claim_request &request);

private:
    /** Determines the outcome for a request whose key is already claimed by another request. */
    result<claim_outcome> outcomeForExisting(const claim_request &request, const claim_record &record);
    /** Gives up an attempt to claim; releases the key in the background if the claim may have been written. */
    result<claim_outcome> abandonClaim(const held_claim &claim, bool mayHaveBeenWritten, const error &reason);

    platform_store &m_store;
    incarnation_lease &m_incarnation;
    const std::chrono::milliseconds m_resolveTimeout;
    rotating_lease m_lease;
    claim_finalizer m_finalizer;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::mt19937_64 m_random;
};

} // namespace bronzechute
