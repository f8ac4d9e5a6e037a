#include "expert_map/expert_map.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

expert_map contiguousMap(std::size_t layers, std::size_t experts, std::size_t ranks)
{
    expert_map map {layers, experts, ranks, {}};
    map.copies.resize(layers * experts);
    for (std::size_t index = 0; index < map.copies.size(); ++index) {
        map.copies[index] = {static_cast<std::uint16_t>(index % experts * ranks / experts)};
    }
    return map;
}

std::vector<double> rankLoads(const expert_map &map, const load_matrix &load, std::size_t layer,
                              const std::vector<double> &speeds)
{
    std::vector<double> loads(map.ranks, 0.0);
    for (std::size_t expert = 0; expert < map.experts; ++expert) {
        const auto &copies = map.copiesOf(layer, expert);
        for (const auto rank : copies) {
            loads[rank] += load.at(layer, expert) / static_cast<double>(copies.size()) / speeds[rank];
        }
    }
    return loads;
}

double criticalLoad(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds)
{
    double sum = 0;
    for (std::size_t layer = 0; layer < map.layers; ++layer) {
        const auto loads = rankLoads(map, load, layer, speeds);
        sum += *std::max_element(loads.begin(), loads.end());
    }
    return sum;
}

double loadSkew(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds)
{
    double mean = 0;
    for (std::size_t layer = 0; layer < map.layers; ++layer) {
        const auto loads = rankLoads(map, load, layer, speeds);
        mean += std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(map.ranks);
    }
    return mean > 0 ? criticalLoad(map, load, speeds) / mean : 1.0;
}

std::vector<std::size_t> loadsPerRank(const expert_map &from, const expert_map &to)
{
    std::vector<std::size_t> loads(to.ranks, 0);
    for (std::size_t index = 0; index < to.copies.size(); ++index) {
        for (const auto rank : to.copies[index]) {
            const auto &held = from.copies[index];
            if (!std::binary_search(held.begin(), held.end(), rank)) {
                ++loads[rank];
            }
        }
    }
    return loads;
}

} // namespace bronzechute
