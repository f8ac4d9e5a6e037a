#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/load_matrix.h"
#include "routing/engine_profile.h"

#include <cstddef>
#include <optional>

namespace bronzechute {

/** A better expert map for a rank group, and what it costs to change to it. */
struct map_change
{
    expert_map map;
    std::size_t loads = 0; ///< Experts that the ranks have to load, in all.
    boot_clock::duration copyTime {}; ///< Of the rank that loads most.
    double skewBefore = 1; ///< Load of the slowest ranks as a multiple of the mean, with the present map.
    double skewAfter = 1;

    friend bool operator==(const map_change &, const map_change &) = default;
};

/** @returns a map that pays for its loads and orders, or nothing when none was found. */
std::optional<map_change> planMapChange(const expert_map &present, const load_matrix &demand,
                                        const engine_profile &profile);

/** @returns the map of a group that has just formed: experts are dealt to the ranks in turn. */
expert_map dealtMap(std::size_t layers, std::size_t experts, std::size_t ranks);

} // namespace bronzechute
