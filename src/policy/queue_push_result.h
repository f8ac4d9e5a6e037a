#pragma once

#include "policy/queued_request.h"

#include <optional>

namespace bronzechute {

/** Result of fair_queue::push. */
struct queue_push_result
{
    bool queued = false; ///< False: the new request was refused and is not in the queue.
    std::optional<queued_request> displaced; ///< An older request that gave way; it was not run.
};

} // namespace bronzechute
