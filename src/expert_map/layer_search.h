#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bronzechute {

/** A change of one layer's placement: `expert` is copied to `to`; `evicted` leaves `to`. */
struct layer_move
{
    std::size_t expert = 0;
    std::size_t from = 0; ///< The slowest rank.
    std::size_t to = 0;
    std::optional<std::size_t> evicted; ///< Nothing: `to` has a free slot.
    bool exchange = false; ///< The evicted expert goes to `from`, which drops `expert`: two loads.
    double gainPerLoad = 0; ///< Drop of the smoothed maximum of the ranks' loads over their mean, by load.
};

/**
 * Local search in one layer. The objective is the 16-norm of the ranks' relative loads: it follows the maximum, and
 * unlike it also falls when one of several equally slow ranks is relieved.
 */
class layer_search
{
public:
    layer_search(const expert_map &map, const load_matrix &load, std::size_t layer, const std::vector<double> &speeds,
                 std::size_t slots);

    /** @returns the move with the highest gain by load away from the slowest rank, or nothing when none gains. */
    std::optional<layer_move> best() const;

    void apply(const layer_move &move);

    /** The rank takes no further experts. */
    void close(std::size_t rank);

    const std::vector<std::vector<std::uint16_t>> &copies() const
    {
        return m_copies;
    }

private:
    double power(double relative) const;
    double changed(std::size_t rank, double delta) const;
    double gain(double powerChange) const;
    void consider(std::optional<layer_move> &best, const layer_move &move, double powerChange) const;
    void considerExpert(std::optional<layer_move> &best, std::size_t expert, std::size_t from) const;
    bool holds(std::size_t expert, std::size_t rank) const;
    void add(std::size_t expert, std::size_t rank);
    void remove(std::size_t expert, std::size_t rank);

    std::size_t m_slots;
    std::vector<double> m_load; ///< By expert, over the mean load of the ranks.
    std::vector<double> m_speeds;
    std::vector<std::vector<std::uint16_t>> m_copies; ///< By expert.
    std::vector<std::vector<std::uint16_t>> m_held; ///< By rank.
    std::vector<bool> m_closed; ///< By rank: takes no further experts.
    std::vector<double> m_relative; ///< By rank.
    double m_powerSum = 0; ///< Of the relative loads to the power of 16.
    double m_norm = 0; ///< Its 16th root.
};

} // namespace bronzechute
