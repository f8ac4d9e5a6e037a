#pragma once

#include "wire/hello_frame.h"

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Timeouts and limits for the connections of a link_hub. */
struct link_options
{
    hello_frame self; ///< The first frame sent on each connection.
    std::chrono::milliseconds heartbeatInterval {500};
    std::chrono::milliseconds receiveTimeout {2000}; ///< A connection that receives no data for this long is closed.
    std::chrono::milliseconds connectTimeout {1500};
    std::chrono::milliseconds minReconnectDelay {100};
    std::chrono::milliseconds maxReconnectDelay {2000};
    std::size_t maxQueuedBytes = std::size_t {64} * 1024 * 1024; ///< A connection with more unsent bytes is closed.
};

} // namespace bronzechute
