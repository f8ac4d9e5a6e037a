#include "quarantine/crash_encoder.h"

#include "quarantine/likeliest_parts.h"

#include <algorithm>
#include <map>

namespace bronzechute {

using json = nlohmann::json;

namespace {

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

} // namespace

std::int64_t ageOf(time_point at, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
}

crash_encoder::crash_encoder(const crash_evidence &evidence, time_point now, part_budget &budget)
    : m_evidence(evidence), m_now(now), m_budget(budget)
{
}

void crash_encoder::add(const endpoint_crash &crash)
{
    if (m_budget.take(1)) {
        m_crashes.push_back(
            {crash.run.endpoint, crash.run.startedAtMs, ageOf(crash.at, m_now), encodeSuspects(crash.suspects)});
    }
}

json crash_encoder::encodeAnswers()
{
    json answers = json::array();
    std::map<std::string, time_point> last = m_evidence.beginnings;
    last.insert(m_evidence.answers.begin(), m_evidence.answers.end());
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

json crash_encoder::encodeSuspects(std::vector<crash_suspect> suspects)
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

std::optional<time_point> crash_encoder::lastWholeAnswer(const std::string &part) const
{
    const auto found = m_evidence.answers.find(part);
    return found == m_evidence.answers.end() ? std::nullopt : std::optional(found->second);
}

std::size_t crash_encoder::untoldAnswers(const std::vector<std::string> &parts) const
{
    const auto count = std::ranges::count_if(parts, [this](const std::string &part) {
        const bool isAnswered = m_evidence.answers.contains(part) || m_evidence.beginnings.contains(part);
        return isAnswered && !m_toldAnswers.contains(part);
    });
    return static_cast<std::size_t>(count);
}

} // namespace bronzechute
