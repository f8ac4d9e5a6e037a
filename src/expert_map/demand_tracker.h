#pragma once

#include "expert_map/rank_counts.h"

#include <map>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Estimates the demand for each expert of a service from the counts of some of its ranks. Requests are distributed over
 * the ranks independently of their content, so that each rank is a sample of all; the counts of several ranks are
 * added up.
 *
 * Demand is stable for long periods and then changes abruptly. The selections since the last shift are therefore
 * pooled, and a sample that differs much from the pool discards it.
 */
class demand_tracker
{
public:
    /** What a sample shows about demand. */
    enum class change {
        unknown, ///< Too few selections since the previous sample, or no previous counts from this source.
        steady, ///< Demand is the same as before, or this is the first sample.
        shifted, ///< Demand changed during the sample, which is a mixture of the old and the new demand.
    };

    /**
     * Compares what was selected since the previous counts of this source with the pool, and adds it if it is alike.
     * @param source identifies the rank's engine
     */
    change record(const std::string &source, const rank_counts &counts);

    /** Like record(), but adds the sample without comparing it. */
    change add(const std::string &source, const rank_counts &counts);

    /** Discards all samples and the estimate. */
    void restart();

    /** @returns whether the next counts of the source can be compared with earlier ones. */
    bool knows(const std::string &source) const
    {
        return m_lastCounts.contains(source);
    }

    /** @returns the estimated demand, or nothing while it is unknown or has just shifted. */
    const std::optional<load_matrix> &demand() const
    {
        return m_demand;
    }

    /** @returns the pooled selections for each expert, as a mean over the experts of all layers. */
    double selectionsPerExpert() const;

    /** @returns the selections for each expert in the latest sample, as a mean. */
    double latestSelectionsPerExpert() const
    {
        return m_latestSelections;
    }

private:
    std::optional<load_matrix> takeSample(const std::string &source, const rank_counts &counts);
    void pool(const load_matrix &sample);

    std::map<std::string, rank_counts> m_lastCounts; ///< By source.
    std::optional<load_matrix> m_pool; ///< Selections since the last shift.
    double m_pooledSelections = 0; ///< Sum of m_pool.
    double m_latestSelections = 0;
    std::optional<load_matrix> m_demand; ///< The pool, scaled to a mean sum of 1 for each layer.
};

} // namespace bronzechute
