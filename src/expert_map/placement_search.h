#pragma once

#include "expert_map/layer_search.h"
#include "expert_map/placement_planner.h"

#include <cstddef>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace bronzechute {

/**
 * Local search for a better map. The moves of all layers compete for the loads that are allowed. The search can be
 * continued with more loads, so that the maps that different numbers of loads reach can be compared.
 */
class placement_search
{
public:
    /** @param speeds relative speed of each rank; 1 is normal */
    placement_search(const expert_map &current, const load_matrix &load, const std::vector<double> &speeds,
                     const planner_limits &limits);

    /** Improves the map until no move is worth its loads. @param maxLoadsPerRank loads of all layers since the start */
    void run(std::size_t maxLoadsPerRank);

    expert_map map() const;

private:
    void prepare(std::size_t layer);
    bool isFull(std::size_t layer, std::size_t rank, const layer_move &move) const;
    void apply(std::size_t layer, const layer_move &move);

    expert_map m_current;
    planner_limits m_limits;
    std::size_t m_maxLoadsPerRank = 0;
    std::vector<layer_search> m_layers;
    std::vector<std::optional<layer_move>> m_moves; ///< The best move of each layer.
    /** Layers by the gain per load of their best moves. */
    std::priority_queue<std::pair<double, std::size_t>> m_ready;
    std::vector<std::size_t> m_loads; ///< Experts that differ from the current map, by rank.
    std::size_t m_total = 0; ///< Loads of all moves.
};

} // namespace bronzechute
