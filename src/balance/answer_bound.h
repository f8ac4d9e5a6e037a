#pragma once

#include <chrono>
#include <optional>

namespace bronzechute {

/** Limits of a response that are known before it begins. */
struct declared_answer
{
    std::chrono::milliseconds timeLeft {0}; ///< Time until the earlier of the caller's and the route's deadline.
    std::chrono::milliseconds latencyTarget {0}; ///< Target time to the response, or to the first event of a stream.
    std::chrono::milliseconds gapTarget {0}; ///< Longest accepted gap between two stream events; 0: none declared.
    std::optional<int> mostTokens; ///< Maximum length of the response; empty when the caller sets none.
    int tokensPerEvent = 1;

    friend bool operator==(const declared_answer &, const declared_answer &) = default;
};

/** @returns the time within which the response completes if its endpoint meets the declared targets. */
std::chrono::milliseconds answerBound(const declared_answer &answer);

} // namespace bronzechute
