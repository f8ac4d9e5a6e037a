#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bronzechute {

/** How a layer_move changes the copies of its experts. */
enum class move_kind {
    copy, ///< `to` gets a copy of `expert`, in place of its copy of `evicted` if it has no free slot.
    exchange, ///< `from` and `to` exchange `expert` and `evicted`.
    relocate, ///< `to` gets `expert` in a free slot, and `from` drops it.
    drop, ///< `from` drops `expert`, of which other ranks hold copies; `to` is unused.
};

/** A change to the placement of one layer. */
struct layer_move
{
    move_kind kind = move_kind::copy;
    std::size_t expert = 0;
    std::size_t from = 0; ///< The rank with the highest load.
    std::size_t to = 0;
    std::optional<std::size_t> evicted; ///< Expert that `to` drops; empty if it drops none.
    double gainPerLoad = 0; ///< Decrease of the 16-norm of the ranks' relative loads, divided by the number of loads.

    bool toLoads() const
    {
        return kind != move_kind::drop;
    }

    bool fromLoads() const
    {
        return kind == move_kind::exchange;
    }
};

/**
 * Local search for a better placement in one layer. The objective is the 16-norm of the ranks' relative loads (load
 * divided by the mean): it approximates the maximum, but also decreases when only one of several ranks with the same
 * highest load is relieved.
 */
class layer_search
{
public:
    /** @param maxNewExperts experts that a rank may hold and does not hold in `map` */
    layer_search(const expert_map &map, const load_matrix &load, std::size_t layer, const std::vector<double> &speeds,
                 std::size_t slots, std::size_t maxNewExperts);

    /** @returns the move off the rank with the highest load that gains most per load, or nothing if no move gains. */
    std::optional<layer_move> bestMove() const;

    void apply(const layer_move &move);

    /** Excludes the rank from receiving further experts that it does not hold in the current map. */
    void excludeRank(std::size_t rank);

    /** Ends all exclusions. */
    void includeAllRanks();

    /** @returns how many more experts the rank has to load after the move; negative if it has to load fewer. */
    int newExpertsBy(const layer_move &move, std::size_t rank) const;

    /** @returns how many experts the rank has to load, compared with the current map. */
    std::size_t newExperts(std::size_t rank) const
    {
        return m_newExperts[rank];
    }

    /** @returns the objective. */
    double norm() const
    {
        return m_norm;
    }

    const std::vector<std::vector<std::uint16_t>> &copies() const
    {
        return m_copies;
    }

private:
    double sixteenthPower(double relative) const;
    /** @returns the change of the rank's term in m_powerSum if its load changes by `delta`. */
    double powerChangeOf(std::size_t rank, double delta) const;
    double normDecrease(double powerChange) const;
    void considerMove(std::optional<layer_move> &best, const layer_move &move, double powerChange) const;
    void considerExpert(std::optional<layer_move> &best, std::size_t expert, std::size_t from, std::size_t to,
                        double relief) const;
    void considerRanks(std::optional<layer_move> &best, std::size_t from, std::span<const std::uint16_t> ranks) const;
    double reliefByCopy(std::size_t expert) const;
    bool isAllowed(const layer_move &move) const;
    int newBy(std::size_t gained, std::optional<std::size_t> lost, std::size_t rank) const;
    void considerDrop(std::optional<layer_move> &best, std::size_t expert, std::size_t from) const;
    bool holds(std::size_t expert, std::size_t rank) const;
    void add(std::size_t expert, std::size_t rank);
    void remove(std::size_t expert, std::size_t rank);

    std::size_t m_slots;
    std::vector<double> m_load; ///< By expert, divided by the mean load of the ranks.
    std::vector<double> m_speeds;
    std::vector<std::vector<std::uint16_t>> m_copies; ///< Ranks that hold a copy, by expert.
    std::vector<std::vector<std::uint16_t>> m_heldExperts; ///< Experts, by rank.
    std::vector<std::vector<std::uint16_t>> m_currentCopies; ///< Like m_copies, in the current map.
    std::vector<std::size_t> m_newExperts; ///< Experts that the rank does not hold in the current map, by rank.
    std::size_t m_maxNewExperts;
    std::vector<bool> m_excluded; ///< Whether the rank is excluded from receiving experts, by rank.
    std::vector<double> m_relativeLoads; ///< Load divided by the mean load, by rank.
    double m_powerSum = 0; ///< Sum of the 16th powers of the relative loads.
    double m_norm = 0; ///< 16th root of m_powerSum.
};

} // namespace bronzechute
