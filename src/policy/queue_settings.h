#pragma once

#include <cstddef>

namespace bronzechute {

/** Parameters of fair_queue. */
struct queue_settings
{
    std::size_t capacity = 64; ///< Requests that may wait.
    int lowerShare = 10; ///< One pop in this many goes to a lower priority when one waits, so that it never starves.
};

} // namespace bronzechute
