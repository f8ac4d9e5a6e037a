#include "expert_map/demand_similarity.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

// Relative variance of the demand for an expert below which demand counts as even; there is nothing to correlate then.
constexpr double evenDemandVariance = 0.01;

double selectionsOf(const load_matrix &counts, std::size_t layer)
{
    const auto first = counts.tokens.begin() + static_cast<std::ptrdiff_t>(layer * counts.experts);
    return std::accumulate(first, first + static_cast<std::ptrdiff_t>(counts.experts), 0.0);
}

} // namespace

double demandSimilarity(const load_matrix &left, const load_matrix &right)
{
    const auto experts = static_cast<double>(left.experts);
    double covariance = 0;
    double leftVariance = 0;
    double rightVariance = 0;
    for (std::size_t layer = 0; layer < left.layers; ++layer) {
        const double leftTotal = selectionsOf(left, layer);
        const double rightTotal = selectionsOf(right, layer);
        if (leftTotal <= 0 || rightTotal <= 0) {
            continue;
        }
        for (std::size_t expert = 0; expert < left.experts; ++expert) {
            const double leftDeviation = left.at(layer, expert) * experts / leftTotal - 1.0;
            const double rightDeviation = right.at(layer, expert) * experts / rightTotal - 1.0;
            covariance += leftDeviation * rightDeviation;
            leftVariance += leftDeviation * leftDeviation;
            rightVariance += rightDeviation * rightDeviation;
        }
        // A count varies by its own size, which adds this much to the sum of the squares over a layer.
        leftVariance -= experts * experts / leftTotal;
        rightVariance -= experts * experts / rightTotal;
    }
    const double even = evenDemandVariance * static_cast<double>(left.tokens.size());
    return (covariance + even)
        / std::sqrt((std::max(leftVariance, 0.0) + even) * (std::max(rightVariance, 0.0) + even));
}

} // namespace bronzechute
