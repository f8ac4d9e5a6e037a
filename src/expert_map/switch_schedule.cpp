#include "expert_map/switch_schedule.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds minPlanInterval {600};
// While nothing changes, plans for a slow group keep finding nothing, and each costs processor time.
constexpr std::chrono::milliseconds maxPlanInterval {2400};

} // namespace

bool switch_schedule::isDue(const switch_occasion &occasion, time_point now) const
{
    if (occasion.formedAnew) {
        return true;
    }
    if (!occasion.demandKnown) {
        return false;
    }
    // After a shift, or when a rank has become slow, each pass with the old map may delay all streams of the group. The
    // first map after a shift rests on few selections; what changed while it was put in use counts as well.
    if (occasion.changedAt > m_plannedAt) {
        return true;
    }
    // The initial map fits no demand, so that waiting for slow streams would only make the first callers late.
    return now - m_changedAt >= std::max<boot_clock::duration>(m_interval, minPlanInterval)
        && (occasion.slow || occasion.initialMap);
}

void switch_schedule::onPlanned(bool found, time_point now)
{
    m_plannedAt = now;
    m_changedAt = now;
    m_interval =
        found ? minPlanInterval : std::clamp<boot_clock::duration>(2 * m_interval, minPlanInterval, maxPlanInterval);
}

void switch_schedule::onEnded(time_point now)
{
    m_changedAt = now;
    m_interval = minPlanInterval;
}

} // namespace bronzechute
