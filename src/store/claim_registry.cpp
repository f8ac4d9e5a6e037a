#include "store/claim_registry.h"

#include "base/request_id.h"
#include "store/store_paths.h"

#include <openssl/sha.h>

#include <mutex>
#include <thread>

namespace bronzechute {

namespace {

constexpr const char *claimStep = "claim.create";
constexpr std::chrono::milliseconds settlePause {20};

} // namespace

claim_registry::claim_registry(platform_store &store, incarnation_lease &incarnation, std::uint64_t seed,
                               std::chrono::milliseconds settleTime)
    : m_store(store)
    , m_incarnation(incarnation)
    , m_settleTime(settleTime)
    , m_lease(store)
    , m_settler(store, m_lease)
    , m_random(seed)
{
}

std::string claim_registry::storeKey(const claim_request &request)
{
    // The length keeps account and key apart.
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
        claim.record.mark = request_id::generate(m_random).toString();
    }
    const std::string value = claim.record.serialize();
    const time_point end = boot_clock::now() + m_settleTime;
    std::int64_t expected = 0;
    bool maySend = false; // Whether a write of this claim may have taken effect or may still do so.
    for (;;) {
        const auto lease = m_lease.current();
        if (!lease) {
            return giveUp(claim, maySend, lease.error());
        }
        const auto written = m_store.compareAndSwap(claim.key, expected, value, lease.value());
        if (written) {
            claim.modRevision = written.value();
            return claim_outcome {claim_verdict::claimed, std::move(claim), {}};
        }
        error problem = written.error();
        if (problem.code == errc::not_found) {
            m_lease.forget(lease.value());
        } else if (problem.code == errc::conflict || problem.code == errc::outcome_unknown) {
            maySend = maySend || problem.code == errc::outcome_unknown;
            const auto entry = m_store.get(claim.key);
            if (entry && entry.value()) {
                const auto stored = claim_record::parse(entry.value()->value);
                if (!stored) {
                    return giveUp(claim, maySend, stored.error());
                }
                if (stored.value().mark == claim.record.mark) {
                    claim.modRevision = entry.value()->modRevision;
                    return claim_outcome {claim_verdict::claimed, std::move(claim), {}};
                }
                if (stored.value().state != claim_state::released) {
                    return judge(request, stored.value());
                }
                expected = entry.value()->modRevision;
            } else if (entry) {
                expected = 0; // Not created yet, or lapsed since.
            } else {
                problem = entry.error();
            }
        } else if (!maySend) {
            return giveUp(claim, maySend, problem);
        }
        if (boot_clock::now() >= end) {
            return giveUp(claim, maySend, problem);
        }
        std::this_thread::sleep_for(settlePause);
    }
}

result<claim_outcome> claim_registry::giveUp(const held_claim &claim, bool maySend, const error &reason)
{
    if (maySend) {
        held_claim released = claim;
        released.record.state = claim_state::released;
        m_settler.settleLater(std::move(released));
    }
    return error {errc::unavailable, claimStep, reason.peer, "the key could not be claimed: " + reason.toString()};
}

result<claim_outcome> claim_registry::judge(const claim_request &request, const claim_record &record)
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
    const auto alive = m_incarnation.alive(record.owner);
    if (!alive) {
        return error {errc::unavailable, claimStep, alive.error().peer, alive.error().detail};
    }
    if (alive.value()) {
        return claim_outcome {claim_verdict::in_progress, {}, {}};
    }
    // The owner may have finished the claim just before it died.
    const auto entry = m_store.get(storeKey(request));
    if (!entry) {
        return error {errc::unavailable, claimStep, entry.error().peer, entry.error().detail};
    }
    if (entry.value()) {
        const auto stored = claim_record::parse(entry.value()->value);
        if (stored && stored.value().state == claim_state::finished && stored.value().mark == record.mark) {
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
    return m_settler.settle(std::move(finished));
}

result<void> claim_registry::loseAnswer(const held_claim &claim)
{
    held_claim lost = claim;
    lost.record.state = claim_state::finished_without_answer;
    return m_settler.settle(std::move(lost));
}

result<void> claim_registry::release(const held_claim &claim)
{
    held_claim released = claim;
    released.record.state = claim_state::released;
    return m_settler.settle(std::move(released));
}

} // namespace bronzechute
