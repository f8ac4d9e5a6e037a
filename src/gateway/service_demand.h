#pragma once

#include "expert_map/demand_sampler.h"
#include "gateway/endpoint_table.h"
#include "gateway/rank_engine_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/** Demand for the experts of one service, as its engines count it. Used from the thread of the event loop. */
class service_demand : public std::enable_shared_from_this<service_demand>
{
public:
    /** The references must outlive this object; readings that are outstanding when it ends are ignored. */
    service_demand(std::string service, endpoint_table &endpoints, rank_engine_client &engines);

    /**
     * Reads the counts that are due.
     * @param isRank returns whether an endpoint, given by its id, is known as the engine of a rank
     * @param slowed whether the passes of a group have just become longer
     */
    void read(std::size_t layers, const std::function<bool(const std::string &)> &isRank, bool slowed, time_point now);

    /** @returns the demand to plan with; null while it is unknown. */
    const load_matrix *current(time_point now) const
    {
        return m_sampler.demand(now);
    }

    /** @returns the demand to assume for a group that formed anew; null if it is unknown or too old. */
    const load_matrix *assumed(time_point now) const;

    /** @returns when the demand last changed considerably. */
    time_point changedAt() const
    {
        return m_sampler.changedAt();
    }

    /** @returns the selections for each expert on which the estimate rests, as a mean. */
    double selectionsPerExpert() const
    {
        return m_sampler.selectionsPerExpert();
    }

private:
    void onCounts(const std::string &id, const result<rank_counts> &counts);

    std::string m_service;
    endpoint_table &m_endpoints;
    rank_engine_client &m_engines;
    demand_sampler m_sampler;
    std::optional<load_matrix> m_last; ///< Latest known demand; kept while the sampler restarts.
    time_point m_lastAt {};
};

} // namespace bronzechute
