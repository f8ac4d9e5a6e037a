#include "store/claim_finalizer.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr const char *finalizeStep = "claim.settle";
constexpr std::chrono::milliseconds finalizeRetryInterval {500};
constexpr int maxFinalizeAttempts = 4;

// Bounds the memory held by queued answers; above it only the fact that the request ran is stored.
constexpr std::size_t maxPendingAnswerBytes = std::size_t {16} * 1024 * 1024;

} // namespace

claim_finalizer::claim_finalizer(platform_store &store, rotating_lease &lease) : m_store(store), m_lease(lease)
{
    m_thread = std::thread([this] { run(); });
}

claim_finalizer::~claim_finalizer()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    finalizePending();
}

result<void> claim_finalizer::finalize(held_claim claim)
{
    auto finalized = tryFinalize(claim);
    if (finalized || finalized.error().code == errc::stale) {
        return finalized;
    }
    finalizeInBackground(std::move(claim));
    return error {errc::unavailable, finalizeStep, finalized.error().peer, finalized.error().detail};
}

void claim_finalizer::finalizeInBackground(held_claim claim)
{
    const std::scoped_lock lock(m_mutex);
    if (claim.record.state == claim_state::finished
        && m_pendingBytes + claim.record.answer.body.size() > maxPendingAnswerBytes) {
        claim.record.answer = {};
        claim.record.state = claim_state::finished_without_answer;
    }
    m_pendingBytes += claim.record.answer.body.size();
    m_pending.push_back(std::move(claim));
    m_wake.notify_all();
}

std::size_t claim_finalizer::pending() const
{
    const std::scoped_lock lock(m_mutex);
    return m_pending.size();
}

// Returns the mod revision that the write has to replace; sets nothingToWrite when no write is needed.
result<std::int64_t> claim_finalizer::findExpectedRevision(const held_claim &claim, bool &nothingToWrite)
{
    const auto entry = m_store.get(claim.key);
    if (!entry) {
        return entry.error();
    }
    if (!entry.value()) {
        if (claim.record.state == claim_state::released) {
            return 0; // Creating the released record makes a delayed write of the claim fail.
        }
        return error {errc::stale, finalizeStep, {}, "the claim is no longer in the store"};
    }
    const auto stored = claim_record::parse(entry.value()->value);
    if (stored && stored.value().state == claim_state::released && claim.modRevision == 0) {
        // The unconfirmed write of the claim may replace this record later; changing its mod revision makes it fail.
        return entry.value()->modRevision;
    }
    if (!stored || stored.value().writeId != claim.record.writeId) {
        nothingToWrite = claim.record.state == claim_state::released;
        return error {errc::stale, finalizeStep, {}, "the key is claimed by another request"};
    }
    nothingToWrite = stored.value().state != claim_state::started;
    return entry.value()->modRevision;
}

result<void> claim_finalizer::tryFinalize(const held_claim &claim)
{
    const std::string value = claim.record.serialize();
    std::int64_t expectedRevision = claim.modRevision;
    bool revisionKnown = expectedRevision != 0;
    error lastError {errc::unavailable, finalizeStep, {}, {}};
    for (int attemptCount = 0; attemptCount < maxFinalizeAttempts; ++attemptCount) {
        if (!revisionKnown) {
            bool nothingToWrite = false;
            const auto found = findExpectedRevision(claim, nothingToWrite);
            if (nothingToWrite) {
                return success();
            }
            if (!found) {
                return found.error();
            }
            expectedRevision = found.value();
        }
        const auto lease = m_lease.current();
        if (!lease) {
            return lease.error();
        }
        const auto written = m_store.compareAndSwap(claim.key, expectedRevision, value, lease.value());
        if (written) {
            return success();
        }
        lastError = written.error();
        if (lastError.code == errc::not_found) {
            m_lease.invalidate(lease.value());
            continue;
        }
        if (lastError.code != errc::conflict && lastError.code != errc::outcome_unknown) {
            return lastError;
        }
        revisionKnown = false;
    }
    return lastError;
}

void claim_finalizer::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait(lock, [this] { return m_stopping || !m_pending.empty(); });
        lock.unlock();
        finalizePending();
        lock.lock();
        m_wake.wait_for(lock, finalizeRetryInterval, [this] { return m_stopping; });
    }
}

void claim_finalizer::finalizePending()
{
    std::deque<held_claim> batch;
    {
        const std::scoped_lock lock(m_mutex);
        batch.swap(m_pending);
        m_pendingBytes = 0;
    }
    while (!batch.empty()) {
        const auto finalized = tryFinalize(batch.front());
        if (!finalized && finalized.error().code != errc::stale) {
            break; // The store is unavailable, so the remaining writes would fail too.
        }
        batch.pop_front();
    }
    for (held_claim &claim : batch) {
        finalizeInBackground(std::move(claim));
    }
}

} // namespace bronzechute
