#pragma once

#include "expert_map/map_record.h"

#include <cstdint>
#include <map>

namespace bronzechute {

/** Checks invariant 1: all ranks that took a step used one map. */
struct step_check
{
    std::uint64_t generation = 0; ///< Counts restarts of the whole group, after which step numbers may repeat.
    std::map<std::uint64_t, map_id> mapOfStep; ///< Of the current generation.
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
