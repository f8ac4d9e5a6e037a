#include "balance/turn_counter.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Longer than a refused caller usually stays away.
constexpr std::chrono::seconds demandMemory {3};

} // namespace

turn_counter::turn_counter(int interval) : m_interval(interval)
{
}

void turn_counter::recordDemand(time_point now)
{
    m_demandAt = now;
}

void turn_counter::recordStart(bool own, time_point now)
{
    if (own) {
        m_passed = 0;
    } else if (m_demandAt != time_point {} && now - m_demandAt <= demandMemory) {
        m_passed = std::min(m_interval, m_passed + 1);
    }
}

bool turn_counter::isDue() const
{
    return m_passed >= m_interval;
}

int turn_counter::startsUntilTurn() const
{
    return m_interval - m_passed;
}

} // namespace bronzechute
