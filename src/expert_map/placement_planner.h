#pragma once

#include "expert_map/placement_plan.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace bronzechute {

struct planner_limits
{
    std::size_t slots = 0; ///< Number of experts of one layer that fit into the memory of a rank.
    std::size_t maxLoads = 0; ///< Limit on the loads of one plan, over all ranks and layers.
    std::size_t maxLoadsPerRank = 0; ///< Number of staged experts that fit into memory beside the current ones.
    double minGainPerLoad = 0.01; ///< Minimum layer_move::gainPerLoad of a move.
    std::uint64_t expertBytes = 0;
    double storeBytesPerSecond = 0; ///< This group's share of the weight store's throughput.
    double queueSeconds = 0; ///< Time that loads of other groups ahead in the weight store's queue take.
    std::size_t maxLoadsPerRankAndLayer = std::numeric_limits<std::size_t>::max();

    friend bool operator==(const planner_limits &, const planner_limits &) = default;
};

/**
 * Improves the current map by local search. A move takes load off the most loaded rank in one of the ways of move_kind,
 * as long as the gain per load is at least the limit.
 *
 * @param speeds relative speed of each rank; 1 is normal
 */
placement_plan planPlacement(const expert_map &current, const load_matrix &load, const std::vector<double> &speeds,
                             const planner_limits &limits);

} // namespace bronzechute
