#include "expert_map/placement.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace bronzechute {

namespace {

std::vector<std::size_t> copyCounts(const load_matrix &load, std::size_t layer, std::size_t ranks, std::size_t total)
{
    std::vector<std::size_t> counts(load.experts, 1);
    for (std::size_t used = load.experts; used < total; ++used) {
        std::size_t hottest = load.experts;
        double highest = 0;
        for (std::size_t expert = 0; expert < load.experts; ++expert) {
            const double perCopy = load.at(layer, expert) / static_cast<double>(counts[expert]);
            if (counts[expert] < ranks && perCopy > highest) {
                highest = perCopy;
                hottest = expert;
            }
        }
        if (hottest == load.experts) {
            break;
        }
        ++counts[hottest];
    }
    return counts;
}

} // namespace

expert_map placeExperts(const load_matrix &load, std::size_t ranks, std::size_t slots,
                        const std::vector<double> &speeds)
{
    expert_map map {load.layers, load.experts, ranks, {}};
    map.copies.resize(load.layers * load.experts);
    for (std::size_t layer = 0; layer < load.layers; ++layer) {
        const auto counts = copyCounts(load, layer, ranks, ranks * slots);
        const auto perCopy = [&](std::size_t expert) {
            return load.at(layer, expert) / static_cast<double>(counts[expert]);
        };
        std::vector<std::size_t> order(load.experts);
        std::iota(order.begin(), order.end(), 0);
        std::stable_sort(order.begin(), order.end(),
                         [&](std::size_t left, std::size_t right) { return perCopy(left) > perCopy(right); });
        std::vector<double> loads(ranks, 0.0);
        std::vector<std::size_t> used(ranks, 0);
        const auto place = [&](std::size_t expert) {
            auto &copies = map.copies[layer * load.experts + expert];
            std::size_t best = ranks;
            double lowest = std::numeric_limits<double>::infinity();
            for (std::size_t rank = 0; rank < ranks; ++rank) {
                const double after = loads[rank] + perCopy(expert) / speeds[rank];
                const bool held = std::find(copies.begin(), copies.end(), rank) != copies.end();
                if (used[rank] < slots && !held && after < lowest) {
                    lowest = after;
                    best = rank;
                }
            }
            // If all ranks with free slots already hold the expert, the copy is skipped.
            if (best < ranks) {
                copies.push_back(static_cast<std::uint16_t>(best));
                loads[best] = lowest;
                ++used[best];
            }
        };
        for (const auto expert : order) {
            for (std::size_t copy = 0; copy < counts[expert]; ++copy) {
                place(expert);
            }
            auto &copies = map.copies[layer * load.experts + expert];
            std::sort(copies.begin(), copies.end());
        }
    }
    return map;
}

} // namespace bronzechute
