#pragma once

#include "balance/pace_model.h"
#include "base/boot_clock.h"

#include <deque>
#include <vector>

namespace bronzechute {

/**
 * Measures the passes of engines that run in lock-step and derives how many requests they may run, so that the pauses
 * between events stay within the accepted ones.
 *
 * All streams of such engines pause equally long. When the demand for experts shifts, a pass takes twice as long until
 * the map is changed, and the more requests run, the more of them become late together. The limit is therefore derived
 * from the longest passes of the last seconds, not from the present ones.
 */
class pass_pace
{
public:
    /**
     * Takes the pause before an event into account.
     * @param running requests that an engine runs at this time, as a mean over the engines
     */
    void record(boot_clock::duration gap, double running, time_point now);

    /**
     * @returns the most requests that an engine should run, as a mean over the engines. It is model.slots while little
     * is known, and also when the accepted pause cannot be met by running fewer.
     */
    double limit(const pace_model &model, time_point now);

private:
    /** Pauses that ended within one short interval. */
    struct interval
    {
        time_point from;
        double gapMs = 0; ///< Median.
        double running = 0; ///< Mean.
    };

    void closeInterval(time_point now);

    std::deque<interval> m_intervals; ///< Oldest first.
    time_point m_openFrom {};
    std::vector<double> m_gapsMs; ///< Of the open interval.
    double m_runningSum = 0; ///< Over m_gapsMs.
};

} // namespace bronzechute
