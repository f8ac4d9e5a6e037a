#pragma once

#include <cstdint>

namespace bronzechute::standins {

/** Faults that a stand-in shows at present. */
struct fault_settings
{
    bool stall = false; ///< Work stops until it is unset; the control pages still answer.
    bool neverAnswer = false; ///< Requests run, but their answers are held until it is unset.
    double slowFactor = 1; ///< Multiplies the time of every step or request.
    std::int64_t cutAfterTokens = -1; ///< Answers are cut after so many tokens (plain service: bytes); -1: never.

    friend bool operator==(const fault_settings &, const fault_settings &) = default;
};

} // namespace bronzechute::standins
