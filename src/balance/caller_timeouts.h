#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace bronzechute {

/**
 * Tells the first try of a caller from a later one by the time that the caller still waits. First tries of a route come
 * with one of a few timeouts that occur again and again; a caller that was refused comes back with what is left.
 */
class caller_timeouts
{
public:
    /** Takes a request into account. @returns whether its caller has most probably come back. */
    bool isReturn(std::chrono::milliseconds timeLeft);

private:
    std::size_t occurrences(std::chrono::milliseconds timeLeft) const;

    static constexpr std::size_t window = 128; ///< Requests that are remembered.
    static constexpr std::size_t fewest = 8; ///< Requests before which nothing is known.
    static constexpr std::size_t usual = 3; ///< Occurrences in the window that make a timeout a usual one.

    std::deque<std::chrono::milliseconds> m_recent;
};

} // namespace bronzechute
