#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** Coverage and result of an exploration. */
struct exploration
{
    int depth = 0; ///< Length of the longest explored sequence of events.
    std::size_t states = 0; ///< Number of distinct states, counted separately for each depth.
    double orders = 0; ///< Number of distinct event orders, up to that depth, that lead through these states.
    bool violated = false;
    bool exhausted = false; ///< Whether every order ended before the depth limit.
};

/**
 * Explores all orders of events with a breadth-first search; equal states at the same depth are explored once.
 *
 * @param onEnd called with each state in which no event is possible
 * @param frontierLimit stops before a depth with more states than this, which limits memory usage
 */
template<typename State, typename End>
exploration exploreOrders(const State &initial, int depthLimit, std::size_t frontierLimit, End onEnd)
{
    struct entry
    {
        State state;
        double orders;
    };
    exploration report;
    std::vector<entry> frontier {{initial, 1.0}};
    while (!frontier.empty() && report.depth < depthLimit && frontier.size() <= frontierLimit) {
        std::unordered_map<std::uint64_t, std::size_t> seen;
        std::vector<entry> next;
        for (const auto &[state, orders] : frontier) {
            const auto events = state.events();
            if (events.empty()) {
                report.orders += orders;
                onEnd(state);
            }
            for (const auto &event : events) {
                State successor = state;
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
        frontier = std::move(next);
        report.states += frontier.size();
        ++report.depth;
    }
    report.exhausted = frontier.empty();
    for (const auto &item : frontier) {
        report.orders += item.orders;
    }
    return report;
}

} // namespace bronzechute
