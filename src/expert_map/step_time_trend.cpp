#include "expert_map/step_time_trend.h"

namespace bronzechute {

namespace {

// Share of the difference to the latest step that is added at each update; a lasting change is usual after some s.
constexpr int smoothingDivisor = 50;
// Prompts lengthen single steps by less than this.
constexpr int slowedPercent = 135;

} // namespace

void step_time_trend::update(boot_clock::duration latest)
{
    if (latest.count() <= 0) {
        m_slowed = false;
        return;
    }
    if (m_usual.count() == 0 || latest < m_usual) {
        m_usual = latest; // After a new map, the next longer step is worth noticing.
    } else {
        m_usual += (latest - m_usual) / smoothingDivisor;
    }
    m_slowed = latest > m_usual * slowedPercent / 100;
}

} // namespace bronzechute
