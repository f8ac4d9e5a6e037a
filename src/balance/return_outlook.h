#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Length of the intervals by which promised returns are counted. */
constexpr std::chrono::milliseconds returnInterval {250};
constexpr std::size_t returnIntervals = 12; ///< Three seconds, the horizon of a queue_summary.

/** Returns promised over all gateways, by the interval from now on in which they are due. */
using promised_returns = std::array<double, returnIntervals>;

/** What callers that are told to come back find, over all gateways together. */
struct return_outlook
{
    double startsPerSecond = 0; ///< Starts that callers who come back can get.
    promised_returns promised {};

    friend bool operator==(const return_outlook &, const return_outlook &) = default;
};

} // namespace bronzechute
