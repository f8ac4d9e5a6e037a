#include "store/claim_registry.h"

#include "base/request_id.h"
#include "store/store_paths.h"

#include <openssl/sha.h>

#include <mutex>
#include <thread>

namespace bronzechute {

namespace {

constexpr const char *claimStep = "claim.create";
constexpr std::chrono::milliseconds claimRetryInterval {20};

} // namespace

claim_registry::claim_registry(platform_store &store, incarnation_lease &incarnation, std::uint64_t seed,
                               std::chrono::milliseconds resolveTimeout)
    : m_store(store)
    , m_incarnation(incarnation)
    , m_resolveTimeout(resolveTimeout)
    , m_lease(store)
    , m_finalizer(store, m_lease)
    , m_random(seed)
{
}

std::string claim_registry::storeKey(const claim_request &request)
{
    // The length prefix makes the concatenation of account and key unambiguous.
    const std::string text = std::to_string(request.account.size()) + ":" + request.account + request.key;
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    static constexpr char digits[] = "0123456789abcdef";
    std::string key = store_paths::claims + request.service + "/";
    for (const unsigned char byte : digest) {
        key += digits[byte >> 4U];
        key += digits[byte & 0xFU];
    }
    return key;
}

result<claim_outcome> claim_registry::claim(const claim_request &request)
{
    held_claim claim {
        storeKey(request), 0, {claim_state::started, request.fingerprint, {}, m_incarnation.incarnation(), {}}};
    {
        const std::scoped_lock lock(m_mutex);
        claim.record.writeId = request_id::generate(m_random).toString();
    }
    const std::string value = claim.record.serialize();
    const time_point deadline = boot_clock::now() + m_resolveTimeout;
    std::int64_t expectedRevision = 0;
    bool mayHaveBeenWritten = false; // A write with an unknown outcome may have taken effect or may still do so.
    for (;;) {
        const auto lease = m_lease.current();
        if (!lease) {
            return abandonClaim(claim, mayHaveBeenWritten, lease.error());
        }
        const auto written = m_store.compareAndSwap(claim.key, expectedRevision, value, lease.value());
        if (written) {
            claim.modRevision = written.value();
            return claim_outcome {claim_verdict::claimed, std::move(claim), {}};
        }
        error failure = written.error();
        if (failure.code == errc::not_found) {
            m_lease.invalidate(lease.value());
        } else if (failure.code == errc::conflict || failure.code == errc::outcome_unknown) {
            mayHaveBeenWritten = mayHaveBeenWritten || failure.code == errc::outcome_unknown;
            const auto entry = m_store.get(claim.key);
            if (entry && entry.value()) {
                const auto stored = claim_record::parse(entry.value()->value);
                if (!stored) {
                    return abandonClaim(claim, mayHaveBeenWritten, stored.error());
                }
                if (stored.value().writeId == claim.record.writeId) {
                    claim.modRevision = entry.value()->modRevision;
                    return claim_outcome {claim_verdict::claimed, std::move(claim), {}};
                }
                if (stored.value().state != claim_state::released) {
                    return outcomeForExisting(request, stored.value());
                }
                expectedRevision = entry.value()->modRevision;
            } else if (entry) {
                expectedRevision = 0; // The record does not exist yet, or its lease has expired.
            } else {
                failure = entry.error();
            }
        } else if (!mayHaveBeenWritten) {
            return abandonClaim(claim, mayHaveBeenWritten, failure);
        }
        if (boot_clock::now() >= deadline) {
            return abandonClaim(claim, mayHaveBeenWritten, failure);
        }
        std::this_thread::sleep_for(claimRetryInterval);
    }
}

result<claim_outcome> claim_registry::abandonClaim(const held_claim &claim, bool mayHaveBeenWritten,
                                                   const error &reason)
{
    if (mayHaveBeenWritten) {
        held_claim released = claim;
        released.record.state = claim_state::released;
        m_finalizer.finalizeInBackground(std::move(released));
    }
    return error {errc::unavailable, claimStep, reason.peer, "cannot claim the idempotency key: " + reason.toString()};
}

result<claim_outcome> claim_registry::outcomeForExisting(const claim_request &request, const claim_record &record)
{
    if (record.fingerprint != request.fingerprint) {
        return claim_outcome {claim_verdict::fingerprint_differs, {}, {}};
    }
    if (record.state == claim_state::finished) {
        return claim_outcome {claim_verdict::finished, {}, record.answer};
    }
    if (record.state == claim_state::finished_without_answer) {
        return claim_outcome {claim_verdict::unknown, {}, {}};
    }
    if (record.owner == m_incarnation.incarnation()) {
        return claim_outcome {claim_verdict::in_progress, {}, {}};
    }
    const auto alive = m_incarnation.isAlive(record.owner);
    if (!alive) {
        return error {errc::unavailable, claimStep, alive.error().peer, alive.error().detail};
    }
    if (alive.value()) {
        return claim_outcome {claim_verdict::in_progress, {}, {}};
    }
    // The owner may have finished the claim between the first read and the end of its process.
    const auto entry = m_store.get(storeKey(request));
    if (!entry) {
        return error {errc::unavailable, claimStep, entry.error().peer, entry.error().detail};
    }
    if (entry.value()) {
        const auto stored = claim_record::parse(entry.value()->value);
        if (stored && stored.value().state == claim_state::finished && stored.value().writeId == record.writeId) {
            return claim_outcome {claim_verdict::finished, {}, stored.value().answer};
        }
    }
    return claim_outcome {claim_verdict::unknown, {}, {}};
}

result<void> claim_registry::finish(const held_claim &claim, const http_answer &answer)
{
    held_claim finished = claim;
    if (answer.body.size() <= answerLimit) {
        finished.record.state = claim_state::finished;
        finished.record.answer = answer;
    } else {
        finished.record.state = claim_state::finished_without_answer;
    }
    return m_finalizer.finalize(std::move(finished));
}

result<void> claim_registry::finishWithoutAnswer(const held_claim &claim)
{
    held_claim lost = claim;
    lost.record.state = claim_state::finished_without_answer;
    return m_finalizer.finalize(std::move(lost));
}

result<void> claim_registry::release(const held_claim &claim)
{
    held_claim released = claim;
    released.record.state = claim_state::released;
    return m_finalizer.finalize(std::move(released));
}

} // namespace bronzechute
