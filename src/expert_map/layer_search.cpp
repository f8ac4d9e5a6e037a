#include "expert_map/layer_search.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

// Ranks with the lowest loads that are tried first as the target of a move; most moves go there, and trying each rank
// of a large group takes several times as long.
constexpr std::size_t preferredTargets = 16;

bool contains(const std::vector<std::uint16_t> &ranks, std::size_t rank)
{
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

/** @returns the 16th root; four square roots are several times faster than std::pow. */
double normOf(double powerSum)
{
    return std::sqrt(std::sqrt(std::sqrt(std::sqrt(powerSum))));
}

} // namespace

layer_search::layer_search(const expert_map &map, const load_matrix &load, std::size_t layer,
                           const std::vector<double> &speeds, std::size_t slots, std::size_t maxNewExperts)
    : m_slots(slots)
    , m_load(map.experts)
    , m_speeds(speeds)
    , m_heldExperts(map.ranks)
    , m_newExperts(map.ranks, 0)
    , m_maxNewExperts(maxNewExperts)
    , m_excluded(map.ranks, false)
    , m_relativeLoads(map.ranks, 0.0)
{
    double total = 0;
    for (std::size_t expert = 0; expert < map.experts; ++expert) {
        total += load.at(layer, expert);
    }
    const double mean = total / std::accumulate(speeds.begin(), speeds.end(), 0.0);
    for (std::size_t expert = 0; expert < map.experts; ++expert) {
        m_load[expert] = mean > 0 ? load.at(layer, expert) / mean : 0.0;
        m_copies.push_back(map.copiesOf(layer, expert));
        for (const auto rank : m_copies.back()) {
            m_heldExperts[rank].push_back(static_cast<std::uint16_t>(expert));
            m_relativeLoads[rank] += m_load[expert] / static_cast<double>(m_copies.back().size()) / speeds[rank];
        }
    }
    m_currentCopies = m_copies;
    for (const double relative : m_relativeLoads) {
        m_powerSum += sixteenthPower(relative);
    }
    m_norm = normOf(m_powerSum);
}

double layer_search::sixteenthPower(double relative) const
{
    const double second = relative * relative;
    const double fourth = second * second;
    const double eighth = fourth * fourth;
    return eighth * eighth;
}

double layer_search::powerChangeOf(std::size_t rank, double delta) const
{
    return sixteenthPower(std::max(0.0, m_relativeLoads[rank] + delta / m_speeds[rank]))
        - sixteenthPower(m_relativeLoads[rank]);
}

double layer_search::normDecrease(double powerChange) const
{
    return m_norm - normOf(std::max(0.0, m_powerSum + powerChange));
}

bool layer_search::holds(std::size_t expert, std::size_t rank) const
{
    return contains(m_copies[expert], rank);
}

int layer_search::newBy(std::size_t gained, std::optional<std::size_t> lost, std::size_t rank) const
{
    return (contains(m_currentCopies[gained], rank) ? 0 : 1)
        - (lost && !contains(m_currentCopies[*lost], rank) ? 1 : 0);
}

int layer_search::newExpertsBy(const layer_move &move, std::size_t rank) const
{
    if (rank == move.to && move.toLoads()) {
        return newBy(move.expert, move.evicted, rank);
    }
    return rank == move.from && move.fromLoads() ? newBy(*move.evicted, move.expert, rank) : 0;
}

bool layer_search::isAllowed(const layer_move &move) const
{
    return std::ranges::all_of(std::array {move.from, move.to}, [&](std::size_t rank) {
        const int added = newExpertsBy(move, rank);
        return added <= 0
            || (!m_excluded[rank] && m_newExperts[rank] + static_cast<std::size_t>(added) <= m_maxNewExperts);
    });
}

void layer_search::considerMove(std::optional<layer_move> &best, const layer_move &move, double powerChange) const
{
    if (powerChange >= 0) {
        return;
    }
    const double perLoad = normDecrease(powerChange) / (move.fromLoads() ? 2.0 : 1.0);
    if ((!best || perLoad > best->gainPerLoad) && isAllowed(move)) {
        best = move;
        best->gainPerLoad = perLoad;
    }
}

/** @returns the change of the power sum by the expert's present holders when one more rank holds it. */
double layer_search::reliefByCopy(std::size_t expert) const
{
    const auto copies = static_cast<double>(m_copies[expert].size());
    double relief = 0;
    for (const auto rank : m_copies[expert]) {
        relief += powerChangeOf(rank, m_load[expert] / (copies + 1) - m_load[expert] / copies);
    }
    return relief;
}

void layer_search::considerExpert(std::optional<layer_move> &best, std::size_t expert, std::size_t from, std::size_t to,
                                  double relief) const
{
    const auto copies = static_cast<double>(m_copies[expert].size());
    const double share = m_load[expert] / copies;
    const double shareWithOneMore = m_load[expert] / (copies + 1);
    if (m_heldExperts[to].size() < m_slots) {
        considerMove(best, {move_kind::copy, expert, from, to, std::nullopt, 0},
                     relief + powerChangeOf(to, shareWithOneMore));
        considerMove(best, {move_kind::relocate, expert, from, to, std::nullopt, 0},
                     powerChangeOf(from, -share) + powerChangeOf(to, share));
    }
    for (const auto evicted : m_heldExperts[to]) {
        const auto evictedCopies = static_cast<double>(m_copies[evicted].size());
        const double evictedShare = m_load[evicted] / evictedCopies;
        if (!holds(evicted, from) && evictedShare < share) {
            considerMove(best, {move_kind::exchange, expert, from, to, evicted, 0},
                         powerChangeOf(from, evictedShare - share) + powerChangeOf(to, share - evictedShare));
        }
        if (evictedCopies < 2) {
            continue;
        }
        // Ranks that hold both experts get both changes one after the other, which slightly overestimates the
        // relief; apply() uses the exact loads.
        double change = relief + powerChangeOf(to, shareWithOneMore - evictedShare);
        const double more = m_load[evicted] / (evictedCopies - 1) - evictedShare;
        for (const auto rank : m_copies[evicted]) {
            if (rank != to) {
                change += holds(expert, rank) ? powerChangeOf(rank, more + shareWithOneMore - share)
                        - powerChangeOf(rank, shareWithOneMore - share)
                                              : powerChangeOf(rank, more);
            }
        }
        considerMove(best, {move_kind::copy, expert, from, to, evicted, 0}, change);
    }
}

void layer_search::considerRanks(std::optional<layer_move> &best, std::size_t from,
                                 std::span<const std::uint16_t> ranks) const
{
    for (const auto expert : m_heldExperts[from]) {
        const double relief = reliefByCopy(expert);
        for (const auto to : ranks) {
            if (to != from && !holds(expert, to)) {
                considerExpert(best, expert, from, to, relief);
            }
        }
    }
}

void layer_search::considerDrop(std::optional<layer_move> &best, std::size_t expert, std::size_t from) const
{
    const auto copies = static_cast<double>(m_copies[expert].size());
    if (copies < 2) {
        return;
    }
    const double share = m_load[expert] / copies;
    const double more = m_load[expert] / (copies - 1) - share;
    double change = 0;
    for (const auto rank : m_copies[expert]) {
        change += powerChangeOf(rank, rank == from ? -share : more);
    }
    considerMove(best, {move_kind::drop, expert, from, from, std::nullopt, 0}, change);
}

std::optional<layer_move> layer_search::bestMove() const
{
    const auto from = static_cast<std::size_t>(
        std::distance(m_relativeLoads.begin(), std::max_element(m_relativeLoads.begin(), m_relativeLoads.end())));
    std::vector<std::uint16_t> targets(m_relativeLoads.size());
    std::iota(targets.begin(), targets.end(), std::uint16_t {0});
    const std::size_t preferred = std::min(preferredTargets, targets.size());
    const auto lowestLoad = [this](std::uint16_t left, std::uint16_t right) {
        return m_relativeLoads[left] < m_relativeLoads[right];
    };
    std::nth_element(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(preferred - 1), targets.end(),
                     lowestLoad);
    std::optional<layer_move> best;
    for (const auto expert : m_heldExperts[from]) {
        considerDrop(best, expert, from);
    }
    considerRanks(best, from, std::span(targets).first(preferred));
    if (!best) {
        considerRanks(best, from, std::span(targets).subspan(preferred));
    }
    return best;
}

void layer_search::add(std::size_t expert, std::size_t rank)
{
    auto &copies = m_copies[expert];
    const auto before = static_cast<double>(copies.size());
    for (const auto holder : copies) {
        m_relativeLoads[holder] += (m_load[expert] / (before + 1) - m_load[expert] / before) / m_speeds[holder];
    }
    m_relativeLoads[rank] += m_load[expert] / (before + 1) / m_speeds[rank];
    copies.insert(std::upper_bound(copies.begin(), copies.end(), rank), static_cast<std::uint16_t>(rank));
    m_heldExperts[rank].push_back(static_cast<std::uint16_t>(expert));
    m_newExperts[rank] += contains(m_currentCopies[expert], rank) ? 0 : 1;
}

void layer_search::remove(std::size_t expert, std::size_t rank)
{
    auto &copies = m_copies[expert];
    const auto before = static_cast<double>(copies.size());
    std::erase(copies, static_cast<std::uint16_t>(rank));
    std::erase(m_heldExperts[rank], static_cast<std::uint16_t>(expert));
    m_newExperts[rank] -= contains(m_currentCopies[expert], rank) ? 0 : 1;
    m_relativeLoads[rank] -= m_load[expert] / before / m_speeds[rank];
    for (const auto holder : copies) {
        m_relativeLoads[holder] += (m_load[expert] / (before - 1) - m_load[expert] / before) / m_speeds[holder];
    }
}

void layer_search::apply(const layer_move &move)
{
    // Copies are added before others are removed, so that no expert is without a copy in between.
    if (move.toLoads()) {
        add(move.expert, move.to);
    }
    if (move.fromLoads()) {
        add(*move.evicted, move.from);
    }
    if (move.kind != move_kind::copy) {
        remove(move.expert, move.from);
    }
    if (move.evicted) {
        remove(*move.evicted, move.to);
    }
    m_powerSum = 0;
    for (const double relative : m_relativeLoads) {
        m_powerSum += sixteenthPower(relative);
    }
    m_norm = normOf(m_powerSum);
}

void layer_search::excludeRank(std::size_t rank)
{
    m_excluded[rank] = true;
}

void layer_search::includeAllRanks()
{
    m_excluded.assign(m_excluded.size(), false);
}

} // namespace bronzechute
