#pragma once

#include "expert_map/placement_plan.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace bronzechute {

struct planner_limits
{
    std::size_t slots = 0; ///< Experts of one layer that the memory of each rank holds.
    std::size_t maxLoads = 0; ///< Experts to load in one plan, over all ranks and layers.
    std::size_t maxLoadsPerRank = 0; ///< Room for staged experts beside the current ones.
    double minGainPerLoad = 0.01; ///< Drop of a layer's slowest load, over its mean load, that each load must bring.
    std::uint64_t expertBytes = 0;
    double storeBytesPerSecond = 0; ///< This group's share of the weight store's rate.
    double queueSeconds = 0; ///< Loads of other groups that are ahead in the weight store's queue.
    std::size_t maxLoadsPerRankAndLayer = std::numeric_limits<std::size_t>::max();

    friend bool operator==(const planner_limits &, const planner_limits &) = default;
};

/**
 * Improves the current map by local search: exchanges a copy of the slowest rank, or replaces a spare copy on another
 * rank by one of the slowest rank's experts, as long as each load gains enough.
 */
placement_plan planPlacement(const expert_map &current, const load_matrix &load, const std::vector<double> &speeds,
                             const planner_limits &limits);

} // namespace bronzechute
