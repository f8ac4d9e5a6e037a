#pragma once

#include "policy/queued_request.h"

#include <optional>

namespace bronzechute {

/** Result of fair_queue::push. */
struct queue_push_result
{
    bool queued = false; ///< Whether the new request was added; it is refused otherwise.
    std::optional<queued_request> displaced; ///< Older request that was evicted to make room, without having run.
};

} // namespace bronzechute
