#pragma once

#include "expert_map/load_matrix.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

/** Assignment of experts to ranks, with replicas. The tokens of an expert are split evenly between its copies. */
struct expert_map
{
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t ranks = 0;
    std::vector<std::vector<std::uint16_t>> copies; ///< Ascending ranks, by layer, then expert; none is empty.

    const std::vector<std::uint16_t> &copiesOf(std::size_t layer, std::size_t expert) const
    {
        return copies[layer * experts + expert];
    }

    friend bool operator==(const expert_map &, const expert_map &) = default;
};

/** @returns the map in which each rank holds a contiguous range of experts, one copy of each expert. */
expert_map contiguousMap(std::size_t layers, std::size_t experts, std::size_t ranks);

/** @returns the tokens per second of each rank in the layer, divided by the rank's relative speed. */
std::vector<double> rankLoads(const expert_map &map, const load_matrix &load, std::size_t layer,
                              const std::vector<double> &speeds);

/** @returns the highest rank load, summed over the layers, because ranks synchronise in every layer. */
double criticalLoad(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds);

/** @returns criticalLoad() divided by the mean rank load summed over the layers; 1 is perfect balance. */
double loadSkew(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds);

/** @returns the number of experts that each rank has to load to change from one map to the other. */
std::vector<std::size_t> loadsPerRank(const expert_map &from, const expert_map &to);

} // namespace bronzechute
