#pragma once

#include <chrono>
#include <cstddef>

namespace bronzechute {

/** Size limits and timeouts of caller connections. */
struct caller_limits
{
    std::size_t headerBytes = std::size_t {16} * 1024;
    std::size_t bodyBytes = std::size_t {1024} * 1024;
    std::chrono::milliseconds headerTimeout {3000}; ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds idleTimeout {15000}; ///< Longest time that a connection may be idle between requests.

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

} // namespace bronzechute
