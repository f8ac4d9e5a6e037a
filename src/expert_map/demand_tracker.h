#pragma once

#include "expert_map/rank_counts.h"

#include <optional>
#include <string>

namespace bronzechute {

/**
 * Follows which experts are in demand, from the counts of one rank of a service. Requests are spread over the ranks
 * regardless of their content, so that one rank stands for all.
 *
 * Demand changes suddenly between long steady times: a sample that differs much from the one before replaces it, the
 * others are smoothed.
 */
class demand_tracker
{
public:
    /** What a sample said about demand. */
    enum class change {
        unknown, ///< Too little was counted since the sample before.
        steady,
        shifted, ///< Demand changed within the time of the sample, which is a mixture of both.
    };

    /** @param source names the rank's engine; another one than before starts anew */
    change record(const std::string &source, const rank_counts &counts);

    /** Forgets what is known: the next samples begin anew. */
    void restart();

    /** @returns the demand, or nothing while it is not known or is just changing. */
    const std::optional<load_matrix> &demand() const
    {
        return m_demand;
    }

private:
    std::string m_source;
    std::optional<rank_counts> m_last;
    std::optional<load_matrix> m_sample; ///< The newest sample, scaled to a sum of one for each layer.
    std::optional<load_matrix> m_demand;
};

} // namespace bronzechute
