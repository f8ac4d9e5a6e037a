#pragma once

#include "quarantine/crash_evidence.h"
#include "quarantine/part_budget.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** @returns the age of a time in ms, which another process can read, as processes share no clock. */
std::int64_t ageOf(time_point at, time_point now);

/**
 * Encodes crashes for encodeCrashEvidence(), and the answers that clear their parts: without these, a receiver would
 * blame popular parts.
 */
class crash_encoder
{
public:
    /** The evidence and the budget must outlive the encoder. */
    crash_encoder(const crash_evidence &evidence, time_point now, part_budget &budget);

    /** Adds as much of a crash as the budget allows; the newest ones come first. */
    void add(const endpoint_crash &crash);

    /** @returns the crashes that were added. */
    nlohmann::json takeCrashes()
    {
        return std::move(m_crashes);
    }

    /** @returns the answers with the parts that were told, and as many others as have room. */
    nlohmann::json encodeAnswers();

private:
    /** Takes at most half of the budget, as older crashes must be told, too. */
    nlohmann::json encodeSuspects(std::vector<crash_suspect> suspects);
    std::optional<time_point> lastWholeAnswer(const std::string &part) const;
    /** @returns how many of the parts have an answer that is not told yet. */
    std::size_t untoldAnswers(const std::vector<std::string> &parts) const;

    const crash_evidence &m_evidence;
    const time_point m_now;
    part_budget &m_budget;
    nlohmann::json m_crashes = nlohmann::json::array();
    std::set<std::string> m_toldAnswers; ///< Parts whose answers have their room in the budget.
};

} // namespace bronzechute
