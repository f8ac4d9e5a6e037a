#pragma once

#include "base/boot_clock.h"
#include "routing/routing_table.h"

#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/** What was decided about a request when it arrived. */
struct exchange_plan
{
    std::shared_ptr<const routing_table> table; ///< Keeps the route alive.
    const route *matched = nullptr;
    std::string service;
    std::string account; ///< Empty for an anonymous request.
    int priority = 0; ///< 0 is the most urgent.
    time_point callerDeadline {}; ///< When the caller stops waiting.
    time_point deadline {}; ///< callerDeadline or the route's timeout, whichever is earlier.
    std::optional<int> mostAnswerTokens; ///< As the caller declares it.
    bool returned = false; ///< The caller has used up a part of its time with an earlier attempt.
};

} // namespace bronzechute
