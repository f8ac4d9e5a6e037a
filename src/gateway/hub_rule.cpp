#include "gateway/hub_rule.h"

#include <algorithm>

namespace bronzechute {

namespace {

// A hub whose tables lack the newer reports of this gateway for longer does not hear it.
constexpr std::chrono::milliseconds inclusionTimeout {1000};
// A host that should act as the hub has this time to send a table.
constexpr std::chrono::milliseconds hubCandidateTimeout {400};
// After which a silent host is considered again.
constexpr std::chrono::seconds silentDuration {3};
constexpr std::chrono::seconds hintLifetime {2};
// A process that was not run for longer was frozen, and another gateway may have become the hub.
constexpr std::chrono::milliseconds freezeThreshold {500};
// Tables come several times within it.
constexpr std::chrono::milliseconds questionTime {300};

} // namespace

hub_rule::hub_rule(std::string self) : m_self(std::move(self))
{
}

std::string hub_rule::choose(const std::map<std::string, int> &freshMembers)
{
    int most = 0;
    for (const auto &[host, count] : freshMembers) {
        most = std::max(most, count);
    }
    for (const auto &[host, count] : freshMembers) {
        if (count * 2 >= most) {
            return host;
        }
    }
    return {};
}

void hub_rule::hear(const std::string &host, int freshMembers, std::optional<time_point> includedAt, time_point now)
{
    hub_sign &sign = m_hubs[host];
    if (!isHeard(sign, now)) {
        sign.firstAt = now;
    }
    sign.heardAt = now;
    sign.freshMembers = freshMembers;
    if (includedAt) {
        sign.includedAt = std::max(sign.includedAt, *includedAt);
    }
}

void hub_rule::setHint(const std::string &host, time_point now)
{
    m_hint = host;
    m_hintedAt = now;
}

bool hub_rule::isHeard(const hub_sign &sign, time_point now) const
{
    return sign.heardAt != time_point {} && now - sign.heardAt <= hubTimeout;
}

bool hub_rule::hearsThis(const hub_sign &sign, time_point now) const
{
    return now - std::max(sign.includedAt, sign.firstAt) <= inclusionTimeout;
}

void hub_rule::update(const std::vector<std::string> &hosts, int ownFreshMembers, time_point now)
{
    if (m_updatedAt == time_point {}) {
        m_lastHubAt = now;
    } else if (now - m_updatedAt > freezeThreshold) {
        m_acting = false;
        m_notBefore = now + hubTimeout;
        m_candidateSince = now;
    }
    m_updatedAt = now;
    std::erase_if(m_silentUntil, [now](const auto &entry) { return now >= entry.second; });
    std::map<std::string, int> heard;
    for (const auto &[host, sign] : m_hubs) {
        if (isHeard(sign, now) && hearsThis(sign, now)) {
            heard.emplace(host, sign.freshMembers);
        }
    }
    if (m_acting) {
        heard.emplace(m_self, ownFreshMembers);
    }
    const std::string former = m_followed;
    if (!heard.empty()) {
        const std::string chosen = choose(heard);
        m_acting = chosen == m_self;
        m_followed = m_acting ? std::string() : chosen;
        m_candidate.clear();
        m_lastHubAt = m_acting ? now : m_hubs.at(chosen).heardAt;
        return;
    }
    m_followed.clear();
    if (!former.empty()) {
        m_silentUntil[former] = now + silentDuration;
    }
    chooseCandidate(hosts, now);
    if (m_candidate == m_self && now >= m_notBefore) {
        m_acting = true;
        m_actingSince = now;
        m_lastHubAt = now;
    }
}

void hub_rule::chooseCandidate(const std::vector<std::string> &hosts, time_point now)
{
    if (!m_candidate.empty() && m_candidate != m_self && now - m_candidateSince > hubCandidateTimeout) {
        m_silentUntil[m_candidate] = now + silentDuration;
    }
    std::string next = m_self;
    if (now - m_hintedAt <= hintLifetime && !m_hint.empty() && !m_silentUntil.contains(m_hint)) {
        next = m_hint;
    } else {
        for (const std::string &host : hosts) {
            if (host < next && !m_silentUntil.contains(host)) {
                next = host;
            }
        }
    }
    if (next != m_candidate) {
        m_candidate = next;
        m_candidateSince = now;
    }
}

std::vector<std::string> hub_rule::reportTo(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, sign] : m_hubs) {
        // A silent hub may be back before another one is found.
        if (isHeard(sign, now) || (m_followed.empty() && !m_acting && now - sign.heardAt <= silentDuration)) {
            hosts.push_back(host);
        }
    }
    if (!m_candidate.empty() && m_candidate != m_self && std::ranges::find(hosts, m_candidate) == hosts.end()) {
        hosts.push_back(m_candidate);
    }
    return hosts;
}

bool hub_rule::isQuestioned(time_point now) const
{
    return !m_acting && now - m_lastHubAt > questionTime;
}

} // namespace bronzechute
