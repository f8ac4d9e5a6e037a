#pragma once

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Bounds of what a caller may send and how long it may take. */
struct caller_limits
{
    std::size_t headerBytes = std::size_t {16} * 1024;
    std::size_t bodyBytes = std::size_t {1024} * 1024;
    std::chrono::milliseconds headerTimeout {3000}; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout {15000}; ///< Of a connection between two requests.

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

} // namespace bronzechute
