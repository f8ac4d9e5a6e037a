#pragma once

#include "expert_map/rank_counts.h"

#include <optional>
#include <string>

namespace bronzechute {

/**
 * Estimates the demand for each expert of a service from the counts of one rank. Requests are distributed over the
 * ranks independently of their content, so one rank is representative of all.
 *
 * Demand is stable for long periods and then changes abruptly. Samples are therefore smoothed exponentially, except
 * that a sample that differs much from the previous one discards the estimate.
 */
class demand_tracker
{
public:
    /** What a sample shows about demand. */
    enum class change {
        unknown, ///< Too few selections since the previous sample, or no previous counts from this source.
        steady, ///< Demand is the same as in the previous sample, or this is the first sample.
        shifted, ///< Demand changed during the sample, which is a mixture of the old and the new demand.
    };

    /** @param source identifies the rank's engine; after a change of source, counting starts again */
    change record(const std::string &source, const rank_counts &counts);

    /** Discards all samples and the estimate. */
    void restart();

    /** @returns the estimated demand, or nothing while it is unknown or has just shifted. */
    const std::optional<load_matrix> &demand() const
    {
        return m_demand;
    }

private:
    std::string m_source;
    std::optional<rank_counts> m_lastCounts;
    std::optional<load_matrix> m_lastSample; ///< Scaled to a mean sum of 1 for each layer.
    std::optional<load_matrix> m_demand;
};

} // namespace bronzechute
