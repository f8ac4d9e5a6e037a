#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

/** A new map with the cost of changing to it from the current one. */
struct placement_plan
{
    expert_map map;
    std::size_t loads = 0; ///< Experts to load, over all ranks.
    std::vector<std::uint64_t> bytesPerRank;
    double loadSeconds = 0; ///< Time in the weight store's queue plus transfer time, until the last rank has loaded.
    double loadBefore = 0; ///< criticalLoad() of the current map, in tokens per second.
    double loadAfter = 0; ///< criticalLoad() of the new map, in tokens per second.

    friend bool operator==(const placement_plan &, const placement_plan &) = default;
};

} // namespace bronzechute
