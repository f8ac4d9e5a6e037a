#pragma once

#include "quarantine/answered_parts.h"
#include "quarantine/endpoint_crash.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bronzechute {

/** How the known crashes count against a prompt part. */
struct part_score
{
    double crashes = 0; ///< Sum of their weights.
    std::size_t position = 0; ///< Last position in the prompt of a suspect.
    bool hasBegun = false; ///< An answer with the part came beyond its beginning.
    time_point lastCountedAt {};
};

// A request that had not begun is rarely the cause.
constexpr double waitingWeight = 0.5;
constexpr std::chrono::milliseconds simultaneousCrashes {250}; ///< Crashes within it may have one cause.

/** @returns whether the endpoint was at the beginning of its answer to the suspect. */
inline bool wasBeginning(const crash_suspect &suspect)
{
    return suspect.begun && !suspect.writing;
}

/**
 * Counts the crashes against the parts of their suspects; see part_quarantine for the rules.
 * @param crashes without those that a convicted part explains
 * @param answered the answers that clear parts
 */
std::map<std::string, part_score> scoreParts(std::vector<const endpoint_crash *> crashes,
                                             const answered_parts &answered);

} // namespace bronzechute
