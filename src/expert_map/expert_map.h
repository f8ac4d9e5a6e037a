#pragma once

#include "expert_map/load_matrix.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

/** Which ranks hold a copy of each expert. An expert's tokens are split evenly over its copies. */
struct expert_map
{
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t ranks = 0;
    std::vector<std::vector<std::uint16_t>> copies; ///< Ascending ranks, by layer, then expert; never empty.

    const std::vector<std::uint16_t> &of(std::size_t layer, std::size_t expert) const
    {
        return copies[layer * experts + expert];
    }

    friend bool operator==(const expert_map &, const expert_map &) = default;
};

/** @returns the map that gives each rank consecutive experts, one copy each. */
expert_map evenMap(std::size_t layers, std::size_t experts, std::size_t ranks);

/** @returns each rank's tokens a second in the layer, divided by the rank's relative speed. */
std::vector<double> rankLoads(const expert_map &map, const load_matrix &load, std::size_t layer,
                              const std::vector<double> &speeds);

/** @returns the sum over layers of the slowest rank's load: ranks wait for each other in every layer. */
double criticalLoad(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds);

/** @returns criticalLoad over the same sum of the ranks' mean; 1 is perfect balance. */
double loadSkew(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds);

/** @returns for each rank how many experts it has to load to go from one map to the other. */
std::vector<std::size_t> loadsPerRank(const expert_map &from, const expert_map &to);

} // namespace bronzechute
