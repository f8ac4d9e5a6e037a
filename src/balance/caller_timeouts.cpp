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
    if (m_recent.size() > window) {
        m_recent.pop_front();
    }
    if (m_recent.size() < fewest || occurrences(timeLeft) >= usual) {
        return false;
    }
    return std::ranges::any_of(
        m_recent, [&](std::chrono::milliseconds other) { return other > timeLeft && occurrences(other) >= usual; });
}

} // namespace bronzechute
