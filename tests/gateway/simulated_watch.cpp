#include "simulated_watch.h"

#include <algorithm>
#include <utility>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

store_changes changesBetween(const simulated_store &store, std::int64_t after, std::int64_t revision)
{
    store_changes changes {after, revision, {}};
    for (std::int64_t at = after + 1; at <= revision; ++at) {
        const std::size_t size = store.large.contains(at) ? relay_announcer::maxChangeBytes + 1 : 300;
        changes.events.push_back({at % 3 == 0, {"key", at % 3 == 0 ? "" : std::string(size, 'v'), at}});
    }
    return changes;
}

} // namespace

std::int64_t simulated_store::revisionAt(time_point at) const
{
    return std::ranges::upper_bound(changedAt, at) - changedAt.begin();
}

void simulated_watch::start(simulated_gateway &gateway, simulated_store &store, time_point now, bool relays)
{
    m_generation = gateway.generation;
    m_relay = std::make_unique<store_relay>(std::hash<std::string> {}(gateway.host) + m_generation);
    if (relays) {
        gateway.node->setStoreRelay(*m_relay);
    }
    ++store.calls; // Lists all keys.
    m_revision = store.revisionAt(now);
    m_request.reset();
    learnedAt.resize(static_cast<std::size_t>(m_revision) + 1, now);
    m_relay->onRead({m_revision, m_revision, {}}, now, true);
}

void simulated_watch::apply(const store_changes &changes, time_point now)
{
    std::int64_t expected = m_revision;
    for (const store_event &event : changes.events) {
        wrong += event.entry.modRevision == ++expected ? 0 : 1;
    }
    wrong += changes.after == m_revision && changes.revision == expected ? 0 : 1;
    m_revision = changes.revision;
    learnedAt.resize(static_cast<std::size_t>(m_revision) + 1, now);
}

void simulated_watch::fail(time_point now)
{
    m_request.reset();
    m_reachable = false;
    m_notBefore = now + 150ms;
    m_retryAt = m_relay->retryAt(150ms, now);
    m_relay->onOutage();
}

bool simulated_watch::readAnswer(const std::string &host, const simulated_store &store, time_point now)
{
    const time_point latest = m_request->askedAt + m_request->wait;
    if (store.isDown || store.refused.contains(host) || (store.silent.contains(host) && now >= latest + 1500ms)) {
        fail(now);
        return false;
    }
    const auto next = static_cast<std::size_t>(m_revision);
    const bool isChanged = next < store.changedAt.size() && store.changedAt[next] <= now;
    const time_point readyAt = isChanged ? std::max(store.changedAt[next], m_request->askedAt) : latest;
    if (store.silent.contains(host) || now < readyAt + store.delay) {
        return true;
    }
    // A process that was frozen reads what the store answered meanwhile.
    const time_point answeredAt = std::min(latest, readyAt);
    const store_changes changes = changesBetween(store, m_revision, store.revisionAt(answeredAt));
    m_request.reset();
    if (!m_reachable) {
        m_reachable = true;
        m_settledAt = now + 2s;
    }
    const bool isLate = now > latest + 400ms;
    m_relay->onRead(changes, std::min(now, latest), !isLate && now >= m_settledAt);
    m_notBefore = changes.events.empty() ? now : now + 250ms;
    apply(changes, now);
    return false;
}

void simulated_watch::step(simulated_gateway &gateway, simulated_store &store, time_point now, bool relays)
{
    if (m_relay == nullptr || m_generation != gateway.generation) {
        start(gateway, store, now, relays);
    }
    if ((m_request && readAnswer(gateway.host, store, now)) || now < m_notBefore
        || (now < m_retryAt && !m_relay->isAnswered(now))) {
        return;
    }
    m_retryAt = now;
    while (const auto changes = m_relay->next(m_revision, !m_reachable || now < m_settledAt + 1300ms, now)) {
        m_followed = true;
        if (!std::exchange(m_reachable, true)) {
            m_settledAt = now + 2s;
        }
        if (changes->revision == m_revision) {
            return;
        }
        apply(*changes, now);
    }
    const bool isProbe = std::exchange(m_followed, false) || (!m_reachable && m_relay->readWait());
    ++store.calls;
    m_request = {now, isProbe ? 1ms : m_relay->readWait().value_or(2s)};
}

} // namespace bronzechute
