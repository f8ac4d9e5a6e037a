#pragma once

#include "balance/pass_latency_model.h"
#include "base/boot_clock.h"

#include <deque>
#include <vector>

namespace bronzechute {

/**
 * Concurrency limiter for model engines that run in lockstep. It measures the latency of their passes and derives how
 * many requests they may run while the gaps between stream events stay within the accepted gap.
 *
 * All streams of such engines have equally long gaps. When the demand for experts shifts, a pass takes twice as long
 * until the expert map is changed, and all running requests become late together. The limit is therefore derived from
 * the longest passes of the last seconds, not from the current ones.
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

    /**
     * @returns the concurrency limit per engine, as a mean over the engines. It is model.slots without recent
     * measurements, without an accepted gap, and when only an unreasonably low limit would meet the accepted gap.
     */
    double limit(const pass_latency_model &model, time_point now);

private:
    /** Summary of the gaps that ended within one sampling interval. */
    struct interval
    {
        time_point start;
        double gapMs = 0; ///< Median gap.
        double running = 0; ///< Mean number of concurrent requests per engine.
    };

    void closeInterval(time_point now);

    std::deque<interval> m_intervals; ///< Oldest first.
    time_point m_intervalStart {};
    std::vector<double> m_gapsMs; ///< Gaps of the interval that began at m_intervalStart.
    double m_runningSum = 0; ///< Sum of the concurrent requests per engine, one summand for each entry of m_gapsMs.
};

} // namespace bronzechute
