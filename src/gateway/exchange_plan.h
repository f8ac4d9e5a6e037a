#pragma once

#include "base/boot_clock.h"
#include "routing/routing_table.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** Routing decision for a request: its route, service, client account and deadlines. */
struct exchange_plan
{
    std::shared_ptr<const routing_table> table; ///< Owns the matched route.
    const route *matched = nullptr;
    std::string service;
    std::string account; ///< Empty for an anonymous request.
    int priority = 0; ///< 0 is the highest.
    time_point callerDeadline {}; ///< When the caller stops waiting.
    time_point deadline {}; ///< callerDeadline or the route's timeout, whichever is earlier.
    std::optional<int> promptTokens; ///< Declared by the caller.
    std::optional<int> maxAnswerTokens; ///< Upper bound declared by the caller.
    std::optional<int> answerTokensEstimate; ///< Estimate of the caller, which may be far off.
    std::vector<std::string> promptParts; ///< Ids of the prompt parts that other requests may share.
    bool isCallerRetry = false; ///< Whether the caller was refused before and has spent part of its timeout on that.

    /** @returns the caller's estimate within its upper bound, at which the engine stops; nothing without an estimate.
     */
    std::optional<int> expectedAnswerTokens() const
    {
        if (!answerTokensEstimate) {
            return std::nullopt;
        }
        return std::min(*answerTokensEstimate, maxAnswerTokens.value_or(*answerTokensEstimate));
    }

    /** @returns the tokens of the prompt and of the expected response; 0 if the caller declares none. */
    std::int64_t tokens() const
    {
        const std::optional<int> answer = expectedAnswerTokens();
        return std::int64_t {promptTokens.value_or(0)} + answer.value_or(maxAnswerTokens.value_or(0));
    }
};

} // namespace bronzechute
