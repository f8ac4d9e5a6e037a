#include "balance/residence_estimate.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

constexpr double memorySeconds = 10.0;
// Weighs like one request, so that the first requests that end decide soon.
constexpr double assumedSeconds = 1.0;

} // namespace

void residence_estimate::advance(time_point now)
{
    if (m_advancedAt != time_point {} && now > m_advancedAt) {
        const double seconds = std::chrono::duration<double>(now - m_advancedAt).count();
        const double kept = std::exp(-seconds / memorySeconds);
        m_integral = m_integral * kept + m_running * seconds;
        m_released *= kept;
        m_tokens *= kept;
        m_sized *= kept;
    }
    m_advancedAt = now;
}

void residence_estimate::recordPlaced(std::int64_t tokens, time_point now)
{
    advance(now);
    ++m_running;
    if (tokens > 0) {
        m_tokens += static_cast<double>(tokens);
        m_sized += 1;
    }
}

void residence_estimate::recordReleased(time_point now)
{
    advance(now);
    m_running = std::max(0, m_running - 1);
    m_released += 1;
}

std::chrono::duration<double> residence_estimate::mean(time_point now) const
{
    residence_estimate present = *this;
    present.advance(now);
    return std::chrono::duration<double>((present.m_integral + assumedSeconds) / (present.m_released + 1));
}

double residence_estimate::meanTokens() const
{
    return m_sized > 0 ? m_tokens / m_sized : 0;
}

} // namespace bronzechute
