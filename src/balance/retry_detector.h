#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace bronzechute {

/**
 * Detects retries of refused callers by the remaining timeout that a request carries. First attempts on a route use one
 * of a few configured timeouts, which recur; a retry carries what is left of such a timeout.
 */
class retry_detector
{
public:
    /**
     * Records a request.
     *
     * @param timeLeft remaining timeout of the caller
     * @returns whether the request is probably a retry
     */
    bool isRetry(std::chrono::milliseconds timeLeft);

private:
    std::size_t occurrences(std::chrono::milliseconds timeLeft) const;

    static constexpr std::size_t windowSize = 128; ///< Recent requests that are kept.
    static constexpr std::size_t minRequests = 8; ///< With fewer requests, none is classified as a retry.
    static constexpr std::size_t minOccurrences = 3; ///< A timeout seen this often in the window is a configured one.

    std::deque<std::chrono::milliseconds> m_recent;
};

} // namespace bronzechute
