#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/load_matrix.h"
#include "routing/engine_profile.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bronzechute {

/** A better expert map for a rank group, with the cost of changing to it. */
struct map_change
{
    expert_map map;
    std::size_t loads = 0; ///< Number of experts to load, over all ranks.
    boot_clock::duration copyTime {}; ///< Expected loading time of the rank that loads most experts.
    std::vector<boot_clock::duration> copyTimes; ///< Expected loading time, by rank.
    double skewBefore = 1; ///< loadSkew() of the current map.
    double skewAfter = 1; ///< loadSkew() of the new map.

    friend bool operator==(const map_change &, const map_change &) = default;
};

/**
 * Plans a change whose size follows from what the loads cost: while the ranks load, the group computes with the present
 * map and more slowly.
 *
 * @param speeds relative speed of each rank; 1 is normal
 * @returns a map whose gain outweighs the cost of the change, or nothing if none was found
 */
std::optional<map_change> planMapChange(const expert_map &current, const load_matrix &demand,
                                        const std::vector<double> &speeds, const engine_profile &profile);

/** @returns the initial map of a newly formed group: experts are assigned to the ranks round-robin, one copy each. */
expert_map roundRobinMap(std::size_t layers, std::size_t experts, std::size_t ranks);

} // namespace bronzechute
