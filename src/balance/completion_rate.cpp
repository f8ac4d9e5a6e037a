#include "balance/completion_rate.h"

namespace bronzechute {

void completion_rate::record(time_point now)
{
    m_completions.push_back(now);
    if (m_completions.size() > windowSize) {
        m_completions.pop_front();
    }
}

boot_clock::duration completion_rate::interval(time_point now) const
{
    if (m_completions.size() < minCompletions) {
        return {};
    }
    return (now - m_completions.front()) / static_cast<std::int64_t>(m_completions.size());
}

} // namespace bronzechute
