#include "store/claim_settler.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr const char *settleStep = "claim.settle";
constexpr std::chrono::milliseconds settleRetryInterval {500};
constexpr int attemptLimit = 4;

// Answers that wait for the store; beyond this only the fact that the request ran is kept.
constexpr std::size_t pendingBytesLimit = std::size_t {16} * 1024 * 1024;

} // namespace

claim_settler::claim_settler(platform_store &store, rotating_lease &lease) : m_store(store), m_lease(lease)
{
    m_thread = std::thread([this] { run(); });
}

claim_settler::~claim_settler()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
    runOnce();
}

result<void> claim_settler::settle(held_claim claim)
{
    auto settled = attempt(claim);
    if (settled || settled.error().code == errc::stale) {
        return settled;
    }
    settleLater(std::move(claim));
    return error {errc::unavailable, settleStep, settled.error().peer, settled.error().detail};
}

void claim_settler::settleLater(held_claim claim)
{
    const std::scoped_lock lock(m_mutex);
    if (claim.record.state == claim_state::finished
        && m_pendingBytes + claim.record.answer.body.size() > pendingBytesLimit) {
        claim.record.answer = {};
        claim.record.state = claim_state::finished_without_answer;
    }
    m_pendingBytes += claim.record.answer.body.size();
    m_pending.push_back(std::move(claim));
    m_wake.notify_all();
}

std::size_t claim_settler::pending() const
{
    const std::scoped_lock lock(m_mutex);
    return m_pending.size();
}

// Reads which version the write has to replace; sets done when nothing is left to write.
result<std::int64_t> claim_settler::findVersion(const held_claim &claim, bool &done)
{
    const auto entry = m_store.get(claim.key);
    if (!entry) {
        return entry.error();
    }
    if (!entry.value()) {
        if (claim.record.state == claim_state::released) {
            return 0; // Written all the same, so that a delayed write of the claim fails.
        }
        return error {errc::stale, settleStep, {}, "the claim is not in the store any more"};
    }
    const auto stored = claim_record::parse(entry.value()->value);
    if (stored && stored.value().state == claim_state::released && claim.modRevision == 0) {
        // An unconfirmed claim may have been meant to replace this record; a new version makes a delayed write fail.
        return entry.value()->modRevision;
    }
    if (!stored || stored.value().mark != claim.record.mark) {
        done = claim.record.state == claim_state::released;
        return error {errc::stale, settleStep, {}, "the key is claimed by another request"};
    }
    done = stored.value().state != claim_state::started;
    return entry.value()->modRevision;
}

result<void> claim_settler::attempt(const held_claim &claim)
{
    const std::string value = claim.record.serialize();
    std::int64_t version = claim.modRevision;
    bool versionKnown = version != 0;
    error last {errc::unavailable, settleStep, {}, {}};
    for (int count = 0; count < attemptLimit; ++count) {
        if (!versionKnown) {
            bool done = false;
            const auto found = findVersion(claim, done);
            if (done) {
                return success();
            }
            if (!found) {
                return found.error();
            }
            version = found.value();
        }
        const auto lease = m_lease.current();
        if (!lease) {
            return lease.error();
        }
        const auto written = m_store.compareAndSwap(claim.key, version, value, lease.value());
        if (written) {
            return success();
        }
        last = written.error();
        if (last.code == errc::not_found) {
            m_lease.forget(lease.value());
            continue;
        }
        if (last.code != errc::conflict && last.code != errc::outcome_unknown) {
            return last;
        }
        versionKnown = false;
    }
    return last;
}

void claim_settler::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait(lock, [this] { return m_stopping || !m_pending.empty(); });
        lock.unlock();
        runOnce();
        lock.lock();
        m_wake.wait_for(lock, settleRetryInterval, [this] { return m_stopping; });
    }
}

void claim_settler::runOnce()
{
    std::deque<held_claim> batch;
    {
        const std::scoped_lock lock(m_mutex);
        batch.swap(m_pending);
        m_pendingBytes = 0;
    }
    while (!batch.empty()) {
        const auto settled = attempt(batch.front());
        if (!settled && settled.error().code != errc::stale) {
            break; // The store is out: the rest would fail alike.
        }
        batch.pop_front();
    }
    for (held_claim &claim : batch) {
        settleLater(std::move(claim));
    }
}

} // namespace bronzechute
