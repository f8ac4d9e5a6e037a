#include "expert_map/demand_tracker.h"

#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

// Fewer choices than this for each expert say little about its demand.
constexpr double fewestChoicesPerExpert = 20;
// Cosine between two samples: noise stays above, a shift of an eighth of the demand falls below.
constexpr double steadySimilarity = 0.88;
constexpr double demandSmoothing = 0.5;

double similarity(const load_matrix &left, const load_matrix &right)
{
    double product = 0;
    double leftSquare = 0;
    double rightSquare = 0;
    for (std::size_t index = 0; index < left.tokens.size(); ++index) {
        product += left.tokens[index] * right.tokens[index];
        leftSquare += left.tokens[index] * left.tokens[index];
        rightSquare += right.tokens[index] * right.tokens[index];
    }
    return product / std::sqrt(std::max(leftSquare * rightSquare, 1e-12));
}

/** @returns the counts with a sum of one for each layer, as a mean over the layers. */
load_matrix scaled(load_matrix counts)
{
    const double total = std::accumulate(counts.tokens.begin(), counts.tokens.end(), 0.0);
    for (double &tokens : counts.tokens) {
        tokens *= static_cast<double>(counts.layers) / total;
    }
    return counts;
}

} // namespace

void demand_tracker::restart()
{
    m_last.reset();
    m_sample.reset();
    m_demand.reset();
}

demand_tracker::change demand_tracker::record(const std::string &source, const rank_counts &counts)
{
    const bool continues = m_last && m_source == source && m_last->epoch == counts.epoch
        && m_last->chosen.tokens.size() == counts.chosen.tokens.size();
    if (!continues) {
        m_source = source;
        m_last = counts;
        return change::unknown;
    }
    load_matrix sample = counts.chosen;
    double total = 0;
    for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
        sample.tokens[index] -= m_last->chosen.tokens[index];
        total += sample.tokens[index];
    }
    if (total < fewestChoicesPerExpert * static_cast<double>(sample.tokens.size())) {
        return change::unknown; // The next sample covers this time as well.
    }
    m_last = counts;
    sample = scaled(std::move(sample));
    const bool shifted = m_sample && similarity(*m_sample, sample) < steadySimilarity;
    if (shifted || !m_demand) {
        m_demand = shifted ? std::nullopt : std::optional(sample);
    } else {
        for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
            double &tokens = m_demand->tokens[index];
            tokens += demandSmoothing * (sample.tokens[index] - tokens);
        }
    }
    m_sample = std::move(sample);
    return shifted ? change::shifted : change::steady;
}

} // namespace bronzechute
