#include "balance/recent_count.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::seconds window {1};

} // namespace

void recent_count::record(time_point now)
{
    while (!m_events.empty() && now - m_events.front() >= window) {
        m_events.pop_front();
    }
    m_events.push_back(now);
}

int recent_count::count(time_point now) const
{
    const auto first = std::ranges::upper_bound(m_events, now - window);
    return static_cast<int>(m_events.end() - first);
}

} // namespace bronzechute
