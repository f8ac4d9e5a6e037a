#include "gateway/control_budget.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr double burstSeconds = 2;
constexpr double minBurstBytes = 131072;

/** @returns the share of the burst that is kept for the kinds that are given up later. */
double reserveOf(control_kind kind)
{
    switch (kind) {
    case control_kind::queues:
        return 0.5;
    case control_kind::table:
        return 0.3;
    case control_kind::membership:
        return 0.15;
    case control_kind::news:
        break;
    }
    return 0;
}

} // namespace

void control_budget::setRate(double bytesPerSecond)
{
    const double burst = std::max(minBurstBytes, bytesPerSecond * burstSeconds);
    if (m_burst == 0) {
        m_left = burst;
    }
    m_rate = bytesPerSecond;
    m_burst = burst;
    m_left = std::min(m_left, m_burst);
}

bool control_budget::allows(control_kind kind, std::size_t bytes, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_left = std::min(m_burst, m_left + std::max(0.0, seconds) * m_rate);
    m_refilledAt = now;
    return m_left - static_cast<double>(bytes) >= reserveOf(kind) * m_burst;
}

void control_budget::spend(std::size_t bytes)
{
    m_left -= static_cast<double>(bytes);
}

} // namespace bronzechute
