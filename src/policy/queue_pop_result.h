#pragma once

#include "policy/queued_request.h"

#include <optional>
#include <vector>

namespace bronzechute {

/** Result of fair_queue::pop. */
struct queue_pop_result
{
    std::optional<queued_request> next; ///< To run now.
    std::vector<queued_request> expired; ///< Their deadline has passed; they were not run.
};

} // namespace bronzechute
