#pragma once

#include "balance/pass_latency_model.h"
#include "balance/pass_limits.h"
#include "base/boot_clock.h"

#include <deque>
#include <vector>

namespace bronzechute {

/**
 * Concurrency limiter for model engines that run in lockstep. It measures the latency of their passes and derives how
 * many requests they may run while the gaps between stream events stay within the accepted gap.
 *
 * All streams of such engines have equally long gaps. When the demand for experts shifts, a pass takes twice as long
 * until the expert map is changed, and all running requests become late together; a stream that has started cannot be
 * taken back. Two limits answer this load pattern:
 *
 * - The planned limit is the one with which most requests of the last seconds would have been in time: each candidate
 *   is played over the measured passes. Fewer requests complete with a lower limit, more of them meet a pass that is
 * too long with a higher one. If all would be late with any limit, all slots are used.
 * - While the present passes are too long, requests that can still be in time are not started. It takes effect after
 *   two passes and ends with the first pass that is short enough.
 */
class pass_latency_limiter
{
public:
    /**
     * Records the gap before a stream event.
     *
     * @param running current number of concurrent requests per engine, as a mean over the engines
     */
    void record(boot_clock::duration gap, double running, time_point now);

    /** @returns the limits; model.slots without recent measurements and without an accepted gap. */
    pass_limits limits(const pass_latency_model &model, time_point now);

    /** @returns the limit for requests that can still be in time. */
    double limit(const pass_latency_model &model, time_point now)
    {
        return limits(model, now).inTime;
    }

private:
    /** Summary of the gaps that ended within one sampling interval. */
    struct interval
    {
        time_point start;
        double gapMs = 0; ///< Median gap.
        double running = 0; ///< Mean number of concurrent requests per engine.
    };

    void closeInterval(time_point now);
    pass_limits computeLimits(const pass_latency_model &model, time_point now) const;
    /** @returns pass latencies as multiples of the modelled token step, oldest first. */
    std::vector<double> relativeLengths(const pass_latency_model &model) const;

    std::deque<interval> m_intervals; ///< Oldest first.
    time_point m_intervalStart {};
    time_point m_lastRecord {};
    std::vector<double> m_gapsMs; ///< Gaps of the interval that began at m_intervalStart.
    double m_runningSum = 0; ///< Sum of the concurrent requests per engine, one summand for each entry of m_gapsMs.

    bool m_changed = true; ///< Whether m_limits is to be computed again.
    time_point m_computedAt {};
    pass_latency_model m_model; ///< That m_limits was computed with.
    pass_limits m_limits;
};

} // namespace bronzechute
