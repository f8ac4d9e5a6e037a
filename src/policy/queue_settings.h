#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Parameters of fair_queue. */
struct queue_settings
{
    std::size_t capacity = 64; ///< Maximum number of waiting requests.
    int lowerPriorityInterval = 10; ///< One pop in this many goes to a lower priority if one waits; avoids starvation.
    boot_clock::duration longestWait =
        std::chrono::milliseconds(1600); ///< A request that is expected to wait longer is not worth queueing.
};

} // namespace bronzechute
