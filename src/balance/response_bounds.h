#pragma once

#include <chrono>
#include <optional>

namespace bronzechute {

/** Limits of a response that are known before it begins. */
struct response_bounds
{
    std::chrono::milliseconds timeLeft {0}; ///< Time until the earlier of the caller's and the route's deadline.
    std::chrono::milliseconds latencyTarget {0}; ///< Target time to the response, or to the first event of a stream.
    std::chrono::milliseconds gapTarget {0}; ///< Longest accepted gap between two stream events; 0: none declared.
    std::optional<int> maxTokens; ///< Maximum length of the response; empty when the caller sets none.
    int tokensPerEvent = 1;

    friend bool operator==(const response_bounds &, const response_bounds &) = default;
};

/** @returns the time within which the response completes if its endpoint meets the declared targets. */
std::chrono::milliseconds maxResponseTime(const response_bounds &bounds);

} // namespace bronzechute
