#include "balance/windowed_retry_budget.h"

namespace bronzechute {

windowed_retry_budget::windowed_retry_budget(const retry_limits &limits, time_point startedAt)
    : m_limits(limits), m_startedAt(startedAt)
{
}

void windowed_retry_budget::setLimits(const retry_limits &limits)
{
    m_limits = limits;
}

void windowed_retry_budget::onRequest(time_point now)
{
    removeExpired(now);
    m_requests.push_back(now);
}

bool windowed_retry_budget::allows(time_point now)
{
    const retry_budget_state current = state(now);
    return static_cast<double>(current.retries + 1) <= current.allowed;
}

bool windowed_retry_budget::tryTake(time_point now)
{
    if (!allows(now)) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

retry_budget_state windowed_retry_budget::state(time_point now)
{
    removeExpired(now);
    const double fixed = now - m_startedAt >= m_limits.window ? m_limits.fixed : 0.0;
    return {m_requests.size(), m_retries.size(), m_limits.share * static_cast<double>(m_requests.size()) + fixed};
}

void windowed_retry_budget::removeExpired(time_point now)
{
    for (std::deque<time_point> *times : {&m_requests, &m_retries}) {
        while (!times->empty() && now - times->front() >= m_limits.window) {
            times->pop_front();
        }
    }
}

} // namespace bronzechute
