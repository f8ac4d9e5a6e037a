#pragma once

#include "balance/pass_latency_model.h"
#include "balance/pass_limit.h"
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
 * taken back. The limit is the lower one of two:
 *
 * - The planned one is that with which most requests of the last seconds would have been in time: each candidate is
 *   played over the measured passes. With a lower limit fewer requests complete, with a higher one more of them meet a
 *   pass that is too long. If most would be late at any useful limit, all slots are used.
 * - The present one is the most with which the last passes would have been short enough. It takes effect after two
 *   passes and ends with the first pass that is short enough.
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

    /** @returns the limit; model.slots without recent measurements and without an accepted gap. */
    const pass_limit &limit(const pass_latency_model &model, time_point now);

private:
    /** Summary of the gaps that ended with one pass. */
    struct measured_pass
    {
        time_point start;
        double gapMs = 0; ///< Median gap.
        double running = 0; ///< Mean number of concurrent requests per engine.
    };

    void closePass(time_point now);
    pass_limit computeLimit(const pass_latency_model &model, time_point now) const;
    /** @returns the limit with which the last passes would have been short enough; model.slots if nothing runs. */
    double presentLimit(const pass_latency_model &model, const std::vector<double> &lengths, time_point now) const;
    /** @returns pass latencies as multiples of the modelled token step, oldest first. */
    std::vector<double> relativeLengths(const pass_latency_model &model) const;

    std::deque<measured_pass> m_passes; ///< Oldest first.
    time_point m_passStart {};
    time_point m_lastRecord {};
    std::vector<double> m_gapsMs; ///< Gaps of the pass that began to end at m_passStart.
    double m_runningSum = 0; ///< Sum of the concurrent requests per engine, one summand for each entry of m_gapsMs.

    bool m_changed = true; ///< Whether m_limit is to be computed again.
    time_point m_computedAt {};
    pass_latency_model m_model; ///< That m_limit was computed with.
    pass_limit m_limit;
};

} // namespace bronzechute
