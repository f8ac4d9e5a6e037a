#include "balance/completion_rate.h"

namespace bronzechute {

void completion_rate::record(time_point now)
{
    m_ends.push_back(now);
    if (m_ends.size() > window) {
        m_ends.pop_front();
    }
}

boot_clock::duration completion_rate::interval(time_point now) const
{
    if (m_ends.size() < fewest) {
        return {};
    }
    return (now - m_ends.front()) / static_cast<std::int64_t>(m_ends.size());
}

} // namespace bronzechute
