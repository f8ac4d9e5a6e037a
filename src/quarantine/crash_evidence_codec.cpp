#include "quarantine/crash_evidence_codec.h"

#include "quarantine/likeliest_parts.h"

#include <algorithm>
#include <functional>
#include <set>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxIdBytes = 64; ///< Of an endpoint or a part.
constexpr int maxConvictions = 32;
constexpr std::chrono::hours maxAge {24};
constexpr std::size_t writingIndex = 2; ///< In a suspect.
constexpr std::size_t wholeIndex = 2; ///< Of the age of the last whole answer, in the entry of an answer.

std::int64_t ageOf(time_point at, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
}

time_point timeOf(const json &age, time_point now)
{
    const std::chrono::milliseconds limit = maxAge;
    return now - std::chrono::milliseconds(std::clamp(age.get<std::int64_t>(), -limit.count(), limit.count()));
}

std::string idOf(const json &value)
{
    return value.get<std::string>().substr(0, maxIdBytes);
}

/** Limits the number of parts in one message. */
class part_budget
{
public:
    bool take(std::size_t parts)
    {
        if (parts > m_left) {
            return false;
        }
        m_left -= parts;
        return true;
    }

    std::size_t left() const
    {
        return m_left;
    }

private:
    std::size_t m_left = maxEncodedParts;
};

/** @returns 0 for the likeliest causes of a crash, which are told first. */
int orderOfTelling(const crash_suspect &suspect)
{
    if (!suspect.begun) {
        return 1;
    }
    return suspect.writing ? 2 : 0;
}

json encodeSuspect(const crash_suspect &suspect, const std::vector<std::string> &parts)
{
    json encoded = {suspect.begun, parts};
    if (suspect.writing) {
        encoded.push_back(true); // Readers of the earlier version ignore it.
    }
    return encoded;
}

/** Encodes crashes and the answers that clear their parts: without these, a receiver would blame popular parts. */
class crash_encoder
{
public:
    crash_encoder(const crash_evidence &evidence, time_point now, part_budget &budget)
        : m_answers(evidence.answers), m_beginnings(evidence.beginnings), m_now(now), m_budget(budget)
    {
    }

    void add(const endpoint_crash &crash)
    {
        if (m_budget.take(1)) {
            m_crashes.push_back(
                {crash.run.endpoint, crash.run.startedAtMs, ageOf(crash.at, m_now), encodeSuspects(crash.suspects)});
        }
    }

    json takeCrashes()
    {
        return std::move(m_crashes);
    }

    /** @returns the answers with the parts that were told, and as many others as have room. */
    json encodeAnswers()
    {
        json answers = json::array();
        std::map<std::string, time_point> last = m_beginnings;
        last.insert(m_answers.begin(), m_answers.end());
        for (const auto &[part, at] : last) {
            if (!m_toldAnswers.contains(part) && !m_budget.take(1)) {
                continue;
            }
            json entry = {part, ageOf(at, m_now)};
            if (const auto whole = lastWholeAnswer(part)) {
                entry.push_back(ageOf(*whole, m_now));
            }
            answers.push_back(std::move(entry));
        }
        return answers;
    }

private:
    /** Takes at most half of the budget, as older crashes must be told, too. */
    json encodeSuspects(std::vector<crash_suspect> suspects)
    {
        std::ranges::stable_sort(suspects, {}, orderOfTelling);
        std::size_t room = m_budget.left() / 2;
        std::size_t untold = suspects.size();
        json told = json::array();
        for (const crash_suspect &suspect : suspects) {
            const std::size_t share = std::max(room / untold, leastToldParts);
            --untold;
            const std::vector<std::string> parts =
                likeliestParts(suspect.parts, share, [this](const std::string &part) { return lastWholeAnswer(part); });
            const std::size_t needed = parts.size() + untoldAnswers(parts);
            if (needed <= room && m_budget.take(needed)) {
                room -= needed;
                m_toldAnswers.insert(parts.begin(), parts.end());
                told.push_back(encodeSuspect(suspect, parts));
            }
        }
        return told;
    }

    std::optional<time_point> lastWholeAnswer(const std::string &part) const
    {
        const auto found = m_answers.find(part);
        return found == m_answers.end() ? std::nullopt : std::optional(found->second);
    }

    /** @returns how many of the parts have an answer that is not told yet. */
    std::size_t untoldAnswers(const std::vector<std::string> &parts) const
    {
        const auto count = std::ranges::count_if(parts, [this](const std::string &part) {
            return (m_answers.contains(part) || m_beginnings.contains(part)) && !m_toldAnswers.contains(part);
        });
        return static_cast<std::size_t>(count);
    }

    const std::map<std::string, time_point> &m_answers;
    const std::map<std::string, time_point> &m_beginnings;
    const time_point m_now;
    part_budget &m_budget;
    json m_crashes = json::array();
    std::set<std::string> m_toldAnswers; ///< Parts whose answers have their room in the budget.
};

} // namespace

json encodeCrashEvidence(const crash_evidence &evidence, time_point now)
{
    part_budget budget;
    json quarantined = json::array();
    for (const quarantined_part &entry : evidence.quarantined) {
        if (budget.take(1)) {
            quarantined.push_back({entry.part, ageOf(entry.since, now), ageOf(entry.until, now), entry.convictions});
        }
    }
    std::vector<endpoint_crash> newestFirst = evidence.crashes;
    std::ranges::sort(newestFirst, std::greater(), &endpoint_crash::at);
    crash_encoder encoder(evidence, now, budget);
    for (const endpoint_crash &crash : newestFirst) {
        encoder.add(crash);
    }
    json answers = encoder.encodeAnswers();
    return {std::move(quarantined), encoder.takeCrashes(), std::move(answers)};
}

crash_evidence decodeCrashEvidence(const json &value, time_point now)
{
    crash_evidence evidence;
    for (const json &entry : value.at(0)) {
        evidence.quarantined.push_back({idOf(entry.at(0)), timeOf(entry.at(1), now), timeOf(entry.at(2), now),
                                        std::clamp(entry.at(3).get<int>(), 0, maxConvictions)});
    }
    for (const json &entry : value.at(1)) {
        endpoint_crash crash {{idOf(entry.at(0)), entry.at(1).get<std::int64_t>()}, timeOf(entry.at(2), now), {}};
        for (const json &suspect : entry.at(3)) {
            crash_suspect decoded;
            suspect.at(0).get_to(decoded.begun);
            decoded.writing = suspect.size() > writingIndex && suspect.at(writingIndex).get<bool>();
            for (const json &part : suspect.at(1)) {
                decoded.parts.push_back(idOf(part));
            }
            crash.suspects.push_back(std::move(decoded));
        }
        evidence.crashes.push_back(std::move(crash));
    }
    for (const json &entry : value.at(2)) {
        const std::string part = idOf(entry.at(0));
        evidence.beginnings[part] = timeOf(entry.at(1), now);
        if (entry.size() > wholeIndex) {
            evidence.answers[part] = timeOf(entry.at(wholeIndex), now);
        }
    }
    return evidence;
}

} // namespace bronzechute
