#include "balance/send_allowance.h"

#include <algorithm>

namespace bronzechute {

void send_allowance::configure(double perSecond, double burst)
{
    m_perSecond = perSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

double send_allowance::tokensAt(time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_burst, m_tokens + seconds * m_perSecond);
}

bool send_allowance::available(time_point now) const
{
    return m_perSecond <= 0 || tokensAt(now) >= 1.0;
}

void send_allowance::take(time_point now)
{
    m_tokens = std::max(0.0, tokensAt(now) - 1.0);
    m_updatedAt = now;
}

} // namespace bronzechute
