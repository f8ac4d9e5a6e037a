#include "quarantine/crash_evidence_codec.h"

#include "quarantine/crash_encoder.h"

#include <algorithm>
#include <functional>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxIdBytes = 64; ///< Of an endpoint or a part.
constexpr int maxConvictions = 32;
constexpr std::chrono::hours maxAge {24};
constexpr std::size_t writingIndex = 2; ///< In a suspect.
constexpr std::size_t wholeIndex = 2; ///< Of the age of the last whole answer, in the entry of an answer.

time_point timeOf(const json &age, time_point now)
{
    const std::chrono::milliseconds limit = maxAge;
    return now - std::chrono::milliseconds(std::clamp(age.get<std::int64_t>(), -limit.count(), limit.count()));
}

std::string idOf(const json &value)
{
    return value.get<std::string>().substr(0, maxIdBytes);
}

} // namespace

json encodeCrashEvidence(const crash_evidence &evidence, time_point now)
{
    part_budget budget(maxEncodedParts);
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
