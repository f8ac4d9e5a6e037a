#include "quarantine/part_quarantine.h"

#include "quarantine/likeliest_parts.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

namespace {

constexpr double crashesToConvict = 2;
// Below the number of crashes that operators accept, and more than chance explains.
constexpr double crashesToConvictAnswered = 4;
constexpr double crashesToConvictAgain = waitingWeight;

bool cameEquallyFar(const crash_suspect &left, const crash_suspect &right)
{
    return left.begun == right.begun && left.writing == right.writing;
}

/** @returns whether two suspects are one request, of which another gateway may have told only some parts. */
bool isSame(const crash_suspect &known, const crash_suspect &told)
{
    if (!cameEquallyFar(known, told) || told.parts.size() < leastToldParts) {
        return known == told;
    }
    return std::ranges::all_of(told.parts, [&known](const std::string &part) {
        return std::ranges::find(known.parts, part) != known.parts.end();
    });
}

template<typename Map, typename Time>
void dropOldest(Map &entries, std::size_t limit, Time timeOf)
{
    while (entries.size() > limit) {
        entries.erase(std::ranges::min_element(entries, {}, timeOf));
    }
}

} // namespace

part_quarantine::part_quarantine(std::uint64_t seed) : m_random(seed)
{
}

std::vector<std::string> part_quarantine::recordBeginning(std::span<const std::string> parts, time_point now)
{
    return noteAnswers(parts, answer_extent::beginning, now);
}

std::vector<std::string> part_quarantine::recordAnswer(std::span<const std::string> parts, time_point now)
{
    return noteAnswers(parts, answer_extent::whole, now);
}

std::vector<std::string> part_quarantine::noteAnswers(std::span<const std::string> parts, answer_extent extent,
                                                      time_point now)
{
    std::vector<std::string> released;
    for (const std::string &part : parts) {
        if (noteAnswer(part, extent, now, now)) {
            released.push_back(part);
        }
    }
    return released;
}

bool part_quarantine::noteAnswer(const std::string &part, answer_extent extent, time_point at, time_point now)
{
    if (extent == answer_extent::whole) {
        m_answered.recordWhole(part, at, now);
    } else {
        m_answered.recordBeginning(part, at, now);
    }
    m_firstAnswerAt = std::min(at, m_firstAnswerAt.value_or(at));
    const auto found = m_quarantined.find(part);
    if (found == m_quarantined.end()) {
        return false;
    }
    // Any answer disproves that the part was never answered, which a suspicion rests on.
    const quarantined_part &entry = found->second.entry;
    const bool isDisproved = extent == answer_extent::whole && at > entry.since;
    if (entry.convictions > 0 && !isDisproved) {
        return false;
    }
    m_quarantined.erase(found);
    m_released[part] = at;
    ++m_version;
    return true;
}

void part_quarantine::recordCrash(const endpoint_crash &crash)
{
    const auto [known, added] = m_crashes.try_emplace(crash.run, endpoint_crash {crash.run, crash.at, {}});
    endpoint_crash &merged = known->second;
    if (added) {
        ++m_version;
        m_settledAt = std::max(m_settledAt, crash.at + settlingTime);
    }
    merged.at = std::min(merged.at, crash.at);
    for (const crash_suspect &suspect : crash.suspects) {
        const bool isNew = std::ranges::none_of(
            merged.suspects, [&suspect](const crash_suspect &other) { return isSame(other, suspect); });
        const auto alike = std::ranges::count_if(
            merged.suspects, [&suspect](const crash_suspect &other) { return cameEquallyFar(other, suspect); });
        if (isNew && !suspect.parts.empty() && alike < static_cast<std::ptrdiff_t>(maxSuspects)) {
            merged.suspects.push_back(suspect);
            ++m_version;
        }
    }
    limitCrashes();
}

void part_quarantine::limitCrashes()
{
    const auto partsOf = [](const auto &entry) {
        const std::vector<crash_suspect> &suspects = entry.second.suspects;
        return std::accumulate(suspects.begin(), suspects.end(), std::size_t {0},
                               [](std::size_t sum, const crash_suspect &each) { return sum + each.parts.size(); });
    };
    std::size_t parts = 0;
    for (const auto &entry : m_crashes) {
        parts += partsOf(entry);
    }
    while (m_crashes.size() > maxCrashes || (parts > maxCrashParts && m_crashes.size() > 1)) {
        const auto oldest = std::ranges::min_element(m_crashes, {}, [](const auto &entry) { return entry.second.at; });
        parts -= partsOf(*oldest);
        m_crashes.erase(oldest);
    }
}

std::vector<std::string> part_quarantine::likeliest(const std::vector<std::string> &parts, std::size_t room) const
{
    return likeliestParts(parts, room, [this](const std::string &part) { return m_answered.lastWholeAnswer(part); });
}

std::vector<quarantined_part> part_quarantine::merge(const crash_evidence &evidence, time_point now)
{
    expire(now);
    for (const auto &[part, at] : evidence.beginnings) {
        noteAnswer(part, answer_extent::beginning, at, now);
    }
    for (const auto &[part, at] : evidence.answers) {
        noteAnswer(part, answer_extent::whole, at, now);
    }
    std::vector<quarantined_part> added;
    for (const quarantined_part &told : evidence.quarantined) {
        const auto answered =
            told.convictions == 0 ? m_answered.lastAnswer(told.part) : m_answered.lastWholeAnswer(told.part);
        const auto known = m_quarantined.find(told.part);
        const bool isNews = known == m_quarantined.end() || told.convictions > known->second.entry.convictions;
        const bool isDisproved = answered && (told.convictions == 0 || *answered > told.since);
        if (isNews && told.until > now && !isDisproved) {
            refuse(told);
            added.push_back(told);
        }
    }
    for (const endpoint_crash &crash : evidence.crashes) {
        if (now - crash.at < crashLifetime) {
            recordCrash(crash);
        }
    }
    return added;
}

bool part_quarantine::isExplained(const endpoint_crash &crash) const
{
    return std::ranges::any_of(crash.suspects, [&](const crash_suspect &suspect) {
        return std::ranges::any_of(suspect.parts, [&](const std::string &part) {
            const auto found = m_quarantined.find(part);
            // A crash after the quarantine, in the time of trials, counts against the part again.
            return found != m_quarantined.end() && found->second.entry.convictions > 0
                && crash.at < found->second.entry.until;
        });
    });
}

std::map<std::string, part_score> part_quarantine::scores(time_point now) const
{
    std::vector<const endpoint_crash *> crashes;
    for (const auto &[run, crash] : m_crashes) {
        if (now - crash.at >= settlingTime && !isExplained(crash)) {
            crashes.push_back(&crash);
        }
    }
    return scoreParts(std::move(crashes), m_answered);
}

std::vector<quarantined_part> part_quarantine::update(time_point now)
{
    std::vector<quarantined_part> convicted;
    if (m_judgedVersion == m_version) {
        return convicted;
    }
    expire(now);
    while (const auto part = partToSuspect(now)) {
        convicted.push_back({*part, now, now + suspicionDuration, 0});
        refuse(convicted.back());
    }
    if (now < m_settledAt) {
        return convicted;
    }
    while (const std::optional<std::string> part = worstPart(now)) {
        convicted.push_back(convict(*part, now));
    }
    m_judgedVersion = m_version;
    return convicted;
}

std::optional<std::string> part_quarantine::worstPart(time_point now) const
{
    std::optional<std::string> worst;
    std::pair<double, std::size_t> worstRank;
    for (const auto &[part, score] : scores(now)) {
        double needed = score.hasBegun ? crashesToConvictAnswered : crashesToConvict;
        const auto known = m_quarantined.find(part);
        if (known != m_quarantined.end() && known->second.entry.convictions > 0) {
            needed = crashesToConvictAgain;
        }
        // Of parts that always came together, the later one is in fewer other requests.
        const std::pair rank(score.crashes, score.position);
        if (score.crashes >= needed && (!worst || rank > worstRank)) {
            worst = part;
            worstRank = rank;
        }
    }
    return worst;
}

std::optional<std::string> part_quarantine::onlySuspect(const endpoint_crash &crash) const
{
    std::optional<std::string> only;
    for (const crash_suspect &suspect : crash.suspects) {
        const auto unanswered = std::ranges::find_if(suspect.parts.rbegin(), suspect.parts.rend(),
                                                     [this](const std::string &part) { return !isAnswered(part); });
        if (!wasBeginning(suspect) || unanswered == suspect.parts.rend()) {
            continue;
        }
        if (only && *only != *unanswered) {
            return std::nullopt;
        }
        only = *unanswered;
    }
    return only;
}

std::optional<std::string> part_quarantine::partToSuspect(time_point now) const
{
    if (!m_firstAnswerAt || now - *m_firstAnswerAt < learningTime) {
        return std::nullopt;
    }
    for (const auto &[run, crash] : m_crashes) {
        const bool isRecent = now - crash.at < suspicionDuration;
        auto part = isRecent && !isExplained(crash) ? onlySuspect(crash) : std::nullopt;
        if (part && !m_quarantined.contains(*part)) {
            return part;
        }
    }
    return std::nullopt;
}

quarantined_part part_quarantine::convict(const std::string &part, time_point now)
{
    const auto known = m_quarantined.find(part);
    const int convictions = known == m_quarantined.end() ? 1 : known->second.entry.convictions + 1;
    boot_clock::duration duration = firstDuration;
    for (int doubled = 1; doubled < convictions && duration < maxDuration; ++doubled) {
        duration *= 2;
    }
    quarantined_part entry {part, now, now + duration, convictions};
    refuse(entry);
    return entry;
}

void part_quarantine::refuse(const quarantined_part &entry)
{
    constexpr std::chrono::milliseconds spread = trialSpread;
    const std::chrono::milliseconds delay(m_random() % static_cast<std::uint64_t>(spread.count()));
    m_quarantined[entry.part] = {entry, entry.until + delay};
    dropOldest(m_quarantined, maxQuarantined, [](const auto &other) { return other.second.entry.since; });
    m_released.erase(entry.part);
    ++m_version;
}

std::optional<quarantined_part> part_quarantine::blocking(std::span<const std::string> parts, time_point now) const
{
    if (m_quarantined.empty()) {
        return std::nullopt;
    }
    for (const std::string &part : parts) {
        const auto found = m_quarantined.find(part);
        if (found == m_quarantined.end()) {
            continue;
        }
        if (now < found->second.nextTrialAt) {
            return found->second.entry;
        }
    }
    return std::nullopt;
}

void part_quarantine::onSend(std::span<const std::string> parts, time_point now)
{
    if (m_quarantined.empty()) {
        return;
    }
    for (const std::string &part : parts) {
        if (const auto found = m_quarantined.find(part); found != m_quarantined.end()) {
            found->second.nextTrialAt = now + trialInterval;
        }
    }
}

void part_quarantine::expire(time_point now)
{
    std::erase_if(m_crashes, [now](const auto &entry) { return now - entry.second.at >= crashLifetime; });
    std::erase_if(m_released, [now](const auto &entry) { return now - entry.second >= crashLifetime; });
    std::erase_if(m_quarantined, [now](const auto &entry) {
        const quarantined_part &known = entry.second.entry;
        return now - known.until >= std::max<boot_clock::duration>(known.until - known.since, 2 * trialSpread);
    });
}

crash_evidence part_quarantine::evidence(time_point now)
{
    expire(now);
    crash_evidence known;
    for (const auto &[part, state] : m_quarantined) {
        known.quarantined.push_back(state.entry);
    }
    const auto tell = [this, &known](const std::string &part, time_point at) {
        known.beginnings[part] = at;
        if (const auto whole = m_answered.lastWholeAnswer(part)) {
            known.answers[part] = *whole;
        }
    };
    for (const auto &[part, at] : m_released) {
        tell(part, at);
    }
    for (const auto &[run, crash] : m_crashes) {
        if (isExplained(crash)) {
            continue;
        }
        known.crashes.push_back(crash);
        for (const crash_suspect &suspect : crash.suspects) {
            for (const std::string &part : suspect.parts) {
                if (const auto answered = m_answered.lastAnswer(part)) {
                    tell(part, *answered);
                }
            }
        }
    }
    return known;
}

} // namespace bronzechute
