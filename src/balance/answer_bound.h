#pragma once

#include <chrono>
#include <optional>

namespace bronzechute {

/** What is declared of an answer before it begins. */
struct declared_answer
{
    std::chrono::milliseconds timeLeft {0}; ///< The caller or the route waits no longer.
    std::chrono::milliseconds latencyTarget {0}; ///< To the answer, or to the first event of a stream.
    std::chrono::milliseconds gapTarget {0}; ///< Longest pause between two events; 0 when none is declared.
    std::optional<int> mostTokens; ///< Of the answer.
    int tokensPerEvent = 1;

    friend bool operator==(const declared_answer &, const declared_answer &) = default;
};

/** @returns a time within which the answer is whole, as long as its endpoint keeps the declared targets. */
std::chrono::milliseconds answerBound(const declared_answer &answer);

} // namespace bronzechute
