#pragma once

#include "expert_map/map_record.h"

#include <cstdint>
#include <map>

namespace bronzechute {

/** Checks the safety invariant of a map switch: all ranks that enter a step use the same map in it. */
struct step_check
{
    std::uint64_t generation = 0; ///< Number of restarts of the whole group, after which step numbers may repeat.
    std::map<std::uint64_t, map_id> mapOfStep; ///< Map used in each step of the current generation.
    bool violated = false;

    void enter(std::uint64_t step, map_id map)
    {
        const auto [entry, added] = mapOfStep.emplace(step, map);
        violated = violated || map == 0 || (!added && entry->second != map);
    }

    void restartGroup()
    {
        ++generation;
        mapOfStep.clear();
    }
};

} // namespace bronzechute
