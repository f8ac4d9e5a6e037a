#pragma once

#include <cstddef>
#include <vector>

namespace bronzechute {

/** Tokens per second that each expert of each layer receives. */
struct load_matrix
{
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::vector<double> tokens; ///< Indexed by layer, then expert.

    load_matrix() = default;
    load_matrix(std::size_t layerCount, std::size_t expertCount)
        : layers(layerCount), experts(expertCount), tokens(layerCount * expertCount, 0.0)
    {
    }

    double &at(std::size_t layer, std::size_t expert)
    {
        return tokens[layer * experts + expert];
    }

    double at(std::size_t layer, std::size_t expert) const
    {
        return tokens[layer * experts + expert];
    }

    friend bool operator==(const load_matrix &, const load_matrix &) = default;
};

} // namespace bronzechute
