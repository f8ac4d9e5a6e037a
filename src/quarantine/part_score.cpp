#include "quarantine/part_score.h"

#include <algorithm>
#include <optional>
#include <set>

namespace bronzechute {

namespace {

using crash_list = std::vector<const endpoint_crash *>;

/** How one crash counts against a part. */
struct part_blame
{
    double weight = 0;
    std::size_t position = 0; ///< Last position in the prompt of a suspect.
};

bool isSince(const std::optional<time_point> &answeredAt, time_point crashedAt)
{
    return answeredAt && *answeredAt >= crashedAt;
}

/** @returns the parts of answers that crashes cut, and that no answer has come to the end with since. */
std::set<std::string> partsLostInMidAnswer(const crash_list &crashes, const answered_parts &answered)
{
    std::set<std::string> parts;
    for (const endpoint_crash *crash : crashes) {
        for (const crash_suspect &suspect : crash->suspects) {
            for (std::size_t index = 0; suspect.writing && index < suspect.parts.size(); ++index) {
                if (!isSince(answered.lastWholeAnswer(suspect.parts[index]), crash->at)) {
                    parts.insert(suspect.parts[index]);
                }
            }
        }
    }
    return parts;
}

std::map<std::string, part_blame> blames(const endpoint_crash &crash, const std::set<std::string> &midAnswer,
                                         const answered_parts &answered)
{
    const double weightOfWaiting = std::ranges::any_of(crash.suspects, wasBeginning) ? 0 : waitingWeight;
    std::map<std::string, part_blame> blames;
    for (const crash_suspect &suspect : crash.suspects) {
        const double weight = suspect.begun ? 1.0 : weightOfWaiting;
        for (std::size_t index = 0; weight > 0 && index < suspect.parts.size(); ++index) {
            const std::string &part = suspect.parts[index];
            // The beginning of an answer that may have crashed an endpoint itself proves nothing.
            const auto clearedAt =
                midAnswer.contains(part) ? answered.lastWholeAnswer(part) : answered.lastAnswer(part);
            if (isSince(clearedAt, crash.at)) {
                continue;
            }
            part_blame &blame = blames[part];
            blame.weight = std::max(blame.weight, weight);
            blame.position = std::max(blame.position, index);
        }
    }
    return blames;
}

} // namespace

std::map<std::string, part_score> scoreParts(std::vector<const endpoint_crash *> crashes,
                                             const answered_parts &answered)
{
    std::ranges::sort(crashes, {}, &endpoint_crash::at);
    const std::set<std::string> midAnswer = partsLostInMidAnswer(crashes, answered);
    std::map<std::string, part_score> scores;
    for (const endpoint_crash *crash : crashes) {
        for (const auto &[part, blame] : blames(*crash, midAnswer, answered)) {
            part_score &score = scores[part];
            score.position = std::max(score.position, blame.position);
            score.hasBegun = answered.lastAnswer(part) || midAnswer.contains(part);
            const bool countsOnce = blame.weight < 1 || score.hasBegun;
            const bool together = score.crashes > 0 && crash->at - score.lastCountedAt < simultaneousCrashes;
            if (!(countsOnce && together)) {
                score.crashes += blame.weight;
                score.lastCountedAt = crash->at;
            }
        }
    }
    return scores;
}

} // namespace bronzechute
