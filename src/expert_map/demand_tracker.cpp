#include "expert_map/demand_tracker.h"

#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

// Samples with fewer selections for each expert are too noisy.
constexpr double minSelectionsPerExpert = 20;
// Cosine similarity of two samples: noise alone stays above it, a shift of an eighth of the demand falls below.
constexpr double minSteadySimilarity = 0.88;
constexpr double demandSmoothingWeight = 0.5;

double cosineSimilarity(const load_matrix &left, const load_matrix &right)
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

/** @returns the counts, normalized so that the sums of the layers have a mean of 1. */
load_matrix normalized(load_matrix counts)
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
    m_lastCounts.reset();
    m_lastSample.reset();
    m_demand.reset();
}

demand_tracker::change demand_tracker::record(const std::string &source, const rank_counts &counts)
{
    const bool continues = m_lastCounts && m_source == source && m_lastCounts->epoch == counts.epoch
        && m_lastCounts->chosen.tokens.size() == counts.chosen.tokens.size();
    if (!continues) {
        m_source = source;
        m_lastCounts = counts;
        return change::unknown;
    }
    load_matrix sample = counts.chosen;
    double total = 0;
    for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
        sample.tokens[index] -= m_lastCounts->chosen.tokens[index];
        total += sample.tokens[index];
    }
    if (total < minSelectionsPerExpert * static_cast<double>(sample.tokens.size())) {
        return change::unknown; // m_lastCounts is kept, so the next sample includes this period.
    }
    m_lastCounts = counts;
    sample = normalized(std::move(sample));
    const bool shifted = m_lastSample && cosineSimilarity(*m_lastSample, sample) < minSteadySimilarity;
    if (shifted || !m_demand) {
        m_demand = shifted ? std::nullopt : std::optional(sample);
    } else {
        for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
            double &tokens = m_demand->tokens[index];
            tokens += demandSmoothingWeight * (sample.tokens[index] - tokens);
        }
    }
    m_lastSample = std::move(sample);
    return shifted ? change::shifted : change::steady;
}

} // namespace bronzechute
