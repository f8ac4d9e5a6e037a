#include "expert_map/placement_search.h"

#include <algorithm>

namespace bronzechute {

placement_search::placement_search(const expert_map &current, const load_matrix &load,
                                   const std::vector<double> &speeds, const planner_limits &limits)
    : m_current(current), m_limits(limits), m_moves(current.layers), m_loads(current.ranks, 0)
{
    m_layers.reserve(current.layers);
    for (std::size_t layer = 0; layer < current.layers; ++layer) {
        m_layers.emplace_back(current, load, layer, speeds, limits.slots, limits.maxLoadsPerRankAndLayer);
    }
}

void placement_search::prepare(std::size_t layer)
{
    m_moves[layer] = m_layers[layer].bestMove();
    if (m_moves[layer] && m_moves[layer]->gainPerLoad >= m_limits.minGainPerLoad) {
        m_ready.emplace(m_moves[layer]->gainPerLoad, layer);
    }
}

bool placement_search::isFull(std::size_t layer, std::size_t rank, const layer_move &move) const
{
    const int added = m_layers[layer].newExpertsBy(move, rank);
    return added > 0 && m_loads[rank] + static_cast<std::size_t>(added) > m_maxLoadsPerRank;
}

void placement_search::apply(std::size_t layer, const layer_move &move)
{
    layer_search &search = m_layers[layer];
    const std::size_t from = search.newExperts(move.from);
    const std::size_t to = search.newExperts(move.to);
    search.apply(move);
    m_loads[move.from] = m_loads[move.from] + search.newExperts(move.from) - from;
    if (move.to != move.from) {
        m_loads[move.to] = m_loads[move.to] + search.newExperts(move.to) - to;
    }
}

void placement_search::run(std::size_t maxLoadsPerRank)
{
    m_maxLoadsPerRank = maxLoadsPerRank;
    m_ready = {};
    for (std::size_t layer = 0; layer < m_layers.size(); ++layer) {
        m_layers[layer].includeAllRanks();
        prepare(layer);
    }
    while (!m_ready.empty()) {
        const std::size_t layer = m_ready.top().second;
        m_ready.pop();
        layer_search &search = m_layers[layer];
        const layer_move move = *m_moves[layer];
        const std::size_t needed = (move.toLoads() ? 1 : 0) + (move.fromLoads() ? 1 : 0);
        if (m_total + needed > m_limits.maxLoads) {
            continue; // No further moves in this layer; the next plan can continue there.
        }
        const bool toFull = isFull(layer, move.to, move);
        if (toFull || isFull(layer, move.from, move)) {
            search.excludeRank(toFull ? move.to : move.from);
            prepare(layer);
            continue;
        }
        const double before = search.norm();
        apply(layer, move);
        m_total += needed;
        // The gain of a move between ranks that hold both experts is slightly overestimated, so that moves without any
        // could repeat.
        if (search.norm() < before) {
            prepare(layer);
        }
    }
}

expert_map placement_search::map() const
{
    expert_map map = m_current;
    for (std::size_t layer = 0; layer < m_layers.size(); ++layer) {
        std::ranges::copy(m_layers[layer].copies(),
                          map.copies.begin() + static_cast<std::ptrdiff_t>(layer * map.experts));
    }
    return map;
}

} // namespace bronzechute
