#pragma once

#include "quarantine/crash_evidence.h"

#include <nlohmann/json.hpp>

namespace bronzechute {

/**
 * Encodes evidence for another process. Times become ages, as processes share no clock.
 * @returns a value of bounded size: what does not fit is left out, the oldest crashes first, and of the parts of long
 * prompts those that were answered last
 */
nlohmann::json encodeCrashEvidence(const crash_evidence &evidence, time_point now);

/**
 * @param value what encodeCrashEvidence() returned in another process
 * @returns the evidence in the clock of this process, as if it had been sent at @p now
 * @throws nlohmann::json::exception if the value is malformed
 */
crash_evidence decodeCrashEvidence(const nlohmann::json &value, time_point now);

constexpr std::size_t maxEncodedParts = 384; ///< Keeps the evidence well below the size of a datagram.

} // namespace bronzechute
