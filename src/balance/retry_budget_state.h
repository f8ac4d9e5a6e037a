#pragma once

#include <cstddef>

namespace bronzechute {

/** What a retry budget holds at a moment, for logs. */
struct retry_budget_state
{
    std::size_t requests = 0; ///< In the window.
    std::size_t retries = 0; ///< In the window.
    double allowed = 0; ///< Retries that these requests and the fixed number allow.

    friend bool operator==(const retry_budget_state &, const retry_budget_state &) = default;
};

} // namespace bronzechute
