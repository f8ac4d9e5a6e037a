#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

/** A new map with what it takes to go there from the current one. */
struct placement_plan
{
    expert_map map;
    std::size_t loads = 0; ///< Experts to load, over all ranks.
    std::vector<std::uint64_t> bytesPerRank;
    double loadSeconds = 0; ///< Waiting in the weight store's queue and loading, until the last rank is staged.
    double loadBefore = 0; ///< criticalLoad of the current map, tokens a second.
    double loadAfter = 0; ///< criticalLoad of the new map, tokens a second.

    friend bool operator==(const placement_plan &, const placement_plan &) = default;
};

} // namespace bronzechute
