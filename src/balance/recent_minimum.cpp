#include "balance/recent_minimum.h"

#include <algorithm>

namespace bronzechute {

void recent_minimum::record(boot_clock::duration duration, time_point now)
{
    if (now - m_start >= 2 * windowLength) {
        m_start = now;
        m_previous.reset();
        m_current.reset();
    } else if (now - m_start >= windowLength) {
        m_start += windowLength;
        m_previous = m_current;
        m_current.reset();
    }
    m_current = m_current ? std::min(*m_current, duration) : duration;
}

std::optional<boot_clock::duration> recent_minimum::value(time_point now) const
{
    if (!m_previous || !m_current || now - m_start >= 2 * windowLength) {
        return std::nullopt;
    }
    return std::min(*m_previous, *m_current);
}

} // namespace bronzechute
