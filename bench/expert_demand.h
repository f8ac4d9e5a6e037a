#pragma once

#include "expert_map/load_matrix.h"

#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace bronzechute {

enum class demand_kind : std::uint8_t {
    gradual, ///< A random walk that forgets an expert's load within 20 minutes.
    sudden, ///< A new draw every 400 s.
    alternating, ///< Two draws in turn, each for 150 s.
    slow, ///< The random walk of `gradual` with a relaxation time of 4 hours.
};

/** Synthetic demand: tokens of each expert, scaled to a constant sum in every layer. */
class expert_demand
{
public:
    expert_demand(demand_kind kind, std::size_t layers, std::size_t experts, std::uint64_t seed)
        : m_kind(kind), m_random(seed), m_first(layers * experts), m_second(layers * experts), m_load(layers, experts)
    {
        redraw(m_first);
        redraw(m_second);
        publish(m_first);
    }

    /** Advances by one second; `second` counts from 1. */
    void advance(int second)
    {
        // Relaxation time of the random walk of each expert's logarithm.
        const double relaxation = m_kind == demand_kind::slow ? 4 * 3600.0 : 1200.0;
        constexpr int suddenSeconds = 400;
        constexpr int alternatingSeconds = 150;
        switch (m_kind) {
        case demand_kind::gradual:
        case demand_kind::slow:
            for (auto &value : m_first) {
                value += -value / relaxation + spread * std::sqrt(2 / relaxation) * m_normal(m_random);
            }
            publish(m_first);
            break;
        case demand_kind::sudden:
            if (second % suddenSeconds == 0) {
                redraw(m_first);
                publish(m_first);
            }
            break;
        case demand_kind::alternating:
            publish(second / alternatingSeconds % 2 == 0 ? m_first : m_second);
            break;
        }
    }

    const load_matrix &load() const
    {
        return m_load;
    }

private:
    static constexpr double spread = 0.7; // Standard deviation of the logarithm of an expert's load.

    void redraw(std::vector<double> &logarithms)
    {
        for (auto &value : logarithms) {
            value = spread * m_normal(m_random);
        }
    }

    void publish(const std::vector<double> &logarithms)
    {
        for (std::size_t layer = 0; layer < m_load.layers; ++layer) {
            double sum = 0;
            for (std::size_t expert = 0; expert < m_load.experts; ++expert) {
                m_load.at(layer, expert) = std::exp(logarithms[layer * m_load.experts + expert]);
                sum += m_load.at(layer, expert);
            }
            for (std::size_t expert = 0; expert < m_load.experts; ++expert) {
                m_load.at(layer, expert) /= sum;
            }
        }
    }

    demand_kind m_kind;
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_normal;
    std::vector<double> m_first; ///< Logarithms of the expert's weights.
    std::vector<double> m_second;
    load_matrix m_load;
};

} // namespace bronzechute
