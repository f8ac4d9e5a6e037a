#pragma once

#include "wire/hello_frame.h"

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Times and limits of the connections of a link_hub. */
struct link_options
{
    hello_frame self; ///< Sent first on each connection.
    std::chrono::milliseconds heartbeatInterval {500};
    std::chrono::milliseconds silenceLimit {2000}; ///< A connection without any frame for this long is closed.
    std::chrono::milliseconds connectTimeout {1500};
    std::chrono::milliseconds minRedialDelay {100};
    std::chrono::milliseconds maxRedialDelay {2000};
    std::size_t maxQueuedBytes = std::size_t {64} * 1024 * 1024; ///< A connection with more unsent bytes is closed.
};

} // namespace bronzechute
