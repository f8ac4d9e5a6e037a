#include "gateway/relay_follower.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Three heartbeats.
constexpr std::chrono::milliseconds silenceTimeout {650};
// The other one says by itself when it was not answered in time.
constexpr std::chrono::milliseconds maxFollowedAge {3000};
// Gateways that rely on the same one spread their requests over this time when it is lost,
constexpr std::chrono::milliseconds lossSpread {250};
// and over this time when changes are missing, which may also have been overtaken.
constexpr std::chrono::milliseconds gapSpread {100};
constexpr std::chrono::milliseconds gapMinimum {20};
// The other one is some 250 ms behind at most if it is well.
constexpr std::chrono::milliseconds lagTimeout {1000};
// A process that was not run for longer was frozen; what waited for it in the socket is old.
constexpr std::chrono::milliseconds pauseThreshold {500};
constexpr std::chrono::milliseconds distrustAfterFreeze {1000};
// While the store answers nobody, each gateway asks it this seldom, besides the one that asks for all.
constexpr std::chrono::milliseconds leastPatience {1000};
constexpr std::chrono::milliseconds mostPatience {1500};
constexpr std::size_t maxChanges = 64;
constexpr std::size_t maxSigns = 8; ///< A data centre has one hub, for a moment two.

} // namespace

relay_follower::relay_follower(std::uint64_t seed) : m_random(seed)
{
}

void relay_follower::clear()
{
    m_signs.clear();
    m_changes.clear();
    m_following = false;
    m_readAt.reset();
    m_isGap = false;
}

void relay_follower::tick(time_point now)
{
    if (m_ranAt != time_point {} && now - m_ranAt > pauseThreshold) {
        m_signs.clear();
        m_changes.clear();
        m_notBefore = now + distrustAfterFreeze;
    }
    m_ranAt = now;
}

void relay_follower::hear(const std::string &host, const store_message &message, time_point now)
{
    tick(now);
    if (message.answering && message.changes && message.changes->after < message.changes->revision) {
        // They are true whenever they arrive, and next() takes them only if none is missing before them.
        m_changes.push_back({*message.changes, message.settled});
        if (m_changes.size() > maxChanges) {
            m_changes.erase(m_changes.begin());
        }
    }
    std::erase_if(m_signs, [now](const auto &entry) { return now - entry.second.heardAt > 2 * silenceTimeout; });
    if (m_signs.size() >= maxSigns && !m_signs.contains(host)) {
        return;
    }
    sign &known = m_signs[host];
    if (known.incarnation == message.incarnation && message.sequence <= known.sequence) {
        return; // Late, or doubled.
    }
    known.incarnation = message.incarnation;
    known.sequence = message.sequence;
    known.answering = message.answering;
    known.settled = message.settled;
    known.revision = message.revision;
    known.heardAt = now;
    known.knownAt = now - std::chrono::milliseconds(message.ageMs);
}

bool relay_follower::isReliable(const sign &known, bool recovering, time_point now) const
{
    const bool isBehind = known.behindSince && now - *known.behindSince > lagTimeout;
    return now >= m_notBefore && (known.settled || (recovering && known.answering))
        && now - known.heardAt <= silenceTimeout && now - known.knownAt <= maxFollowedAge && !isBehind;
}

bool relay_follower::isAnswered(time_point now) const
{
    return std::ranges::any_of(m_signs, [&](const auto &entry) { return isReliable(entry.second, true, now); });
}

time_point relay_follower::patientUntil(time_point now)
{
    const bool isHeard =
        std::ranges::any_of(m_signs, [now](const auto &entry) { return now - entry.second.heardAt <= silenceTimeout; });
    return isHeard ? now + randomDelay(leastPatience, mostPatience) : now;
}

std::chrono::milliseconds relay_follower::randomDelay(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(std::uniform_int_distribution(least.count(), most.count())(m_random));
}

std::optional<std::int64_t> relay_follower::relayedRevision(std::int64_t own, bool recovering, time_point now)
{
    std::optional<std::int64_t> newest;
    m_cause = "not heard";
    for (auto &[host, known] : m_signs) {
        if (known.revision >= own) {
            known.behindSince.reset();
        } else if (!known.behindSince) {
            known.behindSince = now;
        }
        if (isReliable(known, recovering, now)) {
            newest = std::max(newest.value_or(0), known.revision);
        } else if (now - known.heardAt <= silenceTimeout) {
            m_cause = known.settled ? "lags behind" : "has no settled store";
        }
    }
    return newest;
}

std::optional<store_changes> relay_follower::takeChanges(std::int64_t revision, bool recovering)
{
    std::erase_if(m_changes, [revision](const heard_changes &heard) { return heard.changes.revision <= revision; });
    const auto found = std::ranges::find_if(m_changes, [=](const heard_changes &heard) {
        return heard.changes.after <= revision && (heard.settled || recovering);
    });
    if (found == m_changes.end()) {
        return std::nullopt;
    }
    store_changes changes = std::move(found->changes);
    m_changes.erase(found);
    changes.after = revision;
    std::erase_if(changes.events, [revision](const store_event &event) { return event.entry.modRevision <= revision; });
    return changes;
}

std::optional<store_changes> relay_follower::next(std::int64_t revision, bool recovering, time_point now)
{
    const auto newest = relayedRevision(revision, recovering, now);
    const bool isLost = m_following && m_readAt && m_isLoss;
    if (m_following || newest) {
        if (auto changes = takeChanges(revision, recovering)) {
            m_following = true;
            if (!isLost) {
                m_readAt.reset();
            }
            return changes;
        }
    }
    if (newest && *newest <= revision && !isLost) {
        m_following = true;
        m_readAt.reset();
        return store_changes {revision, revision, {}};
    }
    m_isGap = newest.has_value();
    if (!m_following) {
        return std::nullopt;
    }
    if (!m_readAt || (!m_isLoss && !newest)) {
        m_isLoss = !newest;
        m_readAt = now + (m_isLoss ? randomDelay({}, lossSpread) : randomDelay(gapMinimum, gapSpread));
    }
    if (now < *m_readAt) {
        return store_changes {revision, revision, {}};
    }
    m_following = false;
    m_readAt.reset();
    return std::nullopt;
}

time_point relay_follower::nextCheck(time_point now) const
{
    if (m_readAt) {
        return *m_readAt;
    }
    time_point last = now;
    for (const auto &[host, known] : m_signs) {
        if (isReliable(known, true, now)) {
            last = std::max(last, std::min(known.heardAt + silenceTimeout, known.knownAt + maxFollowedAge));
        }
    }
    return last + std::chrono::milliseconds(1);
}

} // namespace bronzechute
