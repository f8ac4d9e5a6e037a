#pragma once

#include "base/boot_clock.h"
#include "routing/routing_table.h"

#include <memory>
#include <optional>
#include <string>

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
    std::optional<int> maxAnswerTokens; ///< Upper bound declared by the caller.
    std::optional<int> expectedAnswerTokens; ///< Estimate of the caller.
    bool isCallerRetry = false; ///< Whether the caller was refused before and has spent part of its timeout on that.
};

} // namespace bronzechute
