#include "balance/retry_detector.h"

#include <algorithm>

namespace bronzechute {

std::size_t retry_detector::occurrences(std::chrono::milliseconds timeLeft) const
{
    return static_cast<std::size_t>(std::ranges::count(m_recent, timeLeft));
}

bool retry_detector::isRetry(std::chrono::milliseconds timeLeft)
{
    m_recent.push_back(timeLeft);
    if (m_recent.size() > windowSize) {
        m_recent.pop_front();
    }
    if (m_recent.size() < minRequests || occurrences(timeLeft) >= minOccurrences) {
        return false;
    }
    return std::ranges::any_of(m_recent, [&](std::chrono::milliseconds other) {
        return other > timeLeft && occurrences(other) >= minOccurrences;
    });
}

} // namespace bronzechute
