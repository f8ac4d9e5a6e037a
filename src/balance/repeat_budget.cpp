#include "balance/repeat_budget.h"

namespace bronzechute {

repeat_budget::repeat_budget(boot_clock::duration window, double share, double fixed)
    : m_window(window), m_share(share), m_fixed(fixed)
{
}

void repeat_budget::setFixed(double fixed)
{
    m_fixed = fixed;
}

void repeat_budget::onRequest(time_point now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

bool repeat_budget::tryTake(time_point now)
{
    forgetOld(now);
    const double allowed = m_share * static_cast<double>(m_requests.size()) + m_fixed;
    if (static_cast<double>(m_repeats.size() + 1) > allowed) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

void repeat_budget::forgetOld(time_point now)
{
    for (std::deque<time_point> *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && now - times->front() >= m_window) {
            times->pop_front();
        }
    }
}

} // namespace bronzechute
