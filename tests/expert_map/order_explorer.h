#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** What an exploration covered. */
struct exploration
{
    int depth = 0; ///< Length of the longest explored order of events.
    std::size_t states = 0; ///< Distinct states, counted once for each depth.
    double orders = 0; ///< Distinct orders of events of at most that depth that lead through them.
    bool violated = false;
    bool exhausted = false; ///< Whether every order has ended before the depth limit.
};

/**
 * Explores every order of events breadth first; equal states at one depth are explored once.
 *
 * @param onEnd called with each state that allows no event
 * @param layerLimit stops before a depth with more states than this, a limit on memory
 */
template<typename World, typename End>
exploration exploreOrders(const World &initial, int depthLimit, std::size_t layerLimit, End onEnd)
{
    struct entry
    {
        World world;
        double orders;
    };
    exploration report;
    std::vector<entry> layer {{initial, 1.0}};
    while (!layer.empty() && report.depth < depthLimit && layer.size() <= layerLimit) {
        std::unordered_map<std::uint64_t, std::size_t> seen;
        std::vector<entry> next;
        for (const auto &[world, orders] : layer) {
            const auto events = world.events();
            if (events.empty()) {
                report.orders += orders;
                onEnd(world);
            }
            for (const auto &event : events) {
                World successor = world;
                successor.apply(event);
                if (successor.violated()) {
                    report.violated = true;
                    ++report.depth;
                    return report;
                }
                const auto [position, added] = seen.emplace(successor.digest(), next.size());
                if (added) {
                    next.push_back({std::move(successor), orders});
                } else {
                    next[position->second].orders += orders;
                }
            }
        }
        layer = std::move(next);
        report.states += layer.size();
        ++report.depth;
    }
    report.exhausted = layer.empty();
    for (const auto &item : layer) {
        report.orders += item.orders;
    }
    return report;
}

} // namespace bronzechute
