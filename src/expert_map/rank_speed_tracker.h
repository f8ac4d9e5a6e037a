#pragma once

#include "base/boot_clock.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/**
 * Relative speeds of the ranks of one group, as their engines report them, and when to read them. In a group that
 * computes in lock-step, one slow rank delays all streams, and nothing that callers see tells which rank it is.
 *
 * Reading costs a call for each rank. The speeds are therefore read only while the group is slow or a rank is known to
 * be slow, and with growing intervals while they explain nothing and the passes do not become slower still.
 */
class rank_speed_tracker
{
public:
    /**
     * @param groupSlow whether the passes of the group take too long
     * @param passTime recent duration of the group's longest passes
     * @returns whether the speeds of all ranks should be read now; the caller then reads them
     */
    bool isDue(bool groupSlow, boot_clock::duration passTime, time_point now);

    /**
     * Records what a rank reports.
     * @param slowdown 1 is normal, larger values are slower
     */
    void record(std::size_t rank, double slowdown, time_point now);

    /** @returns the relative speed of each rank; 1 is normal and the value of ranks that never reported. */
    std::vector<double> speeds(std::size_t ranks) const;

    /**
     * @returns the ranks without whose requests the group has the highest throughput, slowest first. A pass takes as
     * long as the slowest rank with requests, so requests on a slow rank cost more than its slots are worth.
     */
    std::vector<std::size_t> avoidedRanks(std::size_t ranks) const;

    /** @returns when the speed of a rank last changed considerably. */
    time_point changedAt() const
    {
        return m_changedAt;
    }

private:
    bool anySlow() const;

    std::vector<double> m_slowdowns; ///< By rank.
    time_point m_changedAt {};
    time_point m_readAt {};
    boot_clock::duration m_passTimeAtRead {};
    boot_clock::duration m_interval {};
};

} // namespace bronzechute
