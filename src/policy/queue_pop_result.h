#pragma once

#include "policy/queued_request.h"

#include <optional>
#include <vector>

namespace bronzechute {

/** Result of fair_queue::pop. */
struct queue_pop_result
{
    std::optional<queued_request> next; ///< Request to run now; empty when none waits.
    std::vector<queued_request> expired; ///< Requests whose deadline passed before they could run.
};

} // namespace bronzechute
