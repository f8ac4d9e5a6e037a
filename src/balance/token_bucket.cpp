#include "balance/token_bucket.h"

#include <algorithm>

namespace bronzechute {

void token_bucket::configure(double perSecond, double burst)
{
    m_perSecond = perSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

double token_bucket::tokensAt(time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_burst, m_tokens + seconds * m_perSecond);
}

bool token_bucket::available(time_point now) const
{
    return m_perSecond <= 0 || tokensAt(now) >= 1.0;
}

time_point token_bucket::availableAt(time_point now) const
{
    if (available(now)) {
        return now;
    }
    const std::chrono::duration<double> wait((1.0 - tokensAt(now)) / m_perSecond);
    return now + std::chrono::duration_cast<boot_clock::duration>(wait);
}

void token_bucket::take(time_point now)
{
    m_tokens = std::max(0.0, tokensAt(now) - 1.0);
    m_updatedAt = now;
}

} // namespace bronzechute
