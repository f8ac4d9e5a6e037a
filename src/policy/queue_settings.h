#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Parameters of fair_queue. */
struct queue_settings
{
    std::size_t capacity = 64; ///< Requests that may wait.
    int lowerShare = 10; ///< One pop in this many goes to a lower priority when one waits, so that it never starves.
    boot_clock::duration longestWait =
        std::chrono::milliseconds(1600); ///< A request that is expected to wait longer is not worth queueing.
};

} // namespace bronzechute
