#include "balance/recent_peak.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Longer than a path between gateways usually stays cut. Gateways that were removed for good count for as long.
constexpr std::chrono::minutes windowLength {2};

} // namespace

void recent_peak::record(int count, time_point now)
{
    if (now - m_start >= windowLength) {
        m_previous = now - m_start >= 2 * windowLength ? 0 : m_current;
        m_current = 0;
        m_start = now;
    }
    m_current = std::max(m_current, count);
}

int recent_peak::value() const
{
    return std::max(m_current, m_previous);
}

} // namespace bronzechute
