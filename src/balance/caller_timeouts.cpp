#include "balance/caller_timeouts.h"

#include <algorithm>

namespace bronzechute {

std::size_t caller_timeouts::occurrences(std::chrono::milliseconds timeLeft) const
{
    return static_cast<std::size_t>(std::ranges::count(m_recent, timeLeft));
}

bool caller_timeouts::isReturn(std::chrono::milliseconds timeLeft)
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
