#include "expert_map/demand_tracker.h"

#include "expert_map/demand_similarity.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

namespace {

// Smaller samples say little about a shift, even with the variance of counting subtracted.
constexpr double minSelectionsPerExpertOfSample = 4;
// A map for fewer selections for each expert would fit their noise.
constexpr double minSelectionsPerExpertOfDemand = 20;
// Older selections lose weight beyond this, so that the estimate follows slow changes.
constexpr double maxSelectionsPerExpert = 400;
// Similarity of a sample and the pool: requests that differ stay above it, a shift of an eighth of the demand is below.
constexpr double minSteadySimilarity = 0.88;

double sumOf(const load_matrix &counts)
{
    return std::accumulate(counts.tokens.begin(), counts.tokens.end(), 0.0);
}

} // namespace

void demand_tracker::restart()
{
    m_lastCounts.clear();
    m_pool.reset();
    m_pooledSelections = 0;
    m_demand.reset();
}

double demand_tracker::selectionsPerExpert() const
{
    return m_pool ? m_pooledSelections / static_cast<double>(m_pool->tokens.size()) : 0.0;
}

std::optional<load_matrix> demand_tracker::takeSample(const std::string &source, const rank_counts &counts)
{
    const auto found = m_lastCounts.find(source);
    if (found == m_lastCounts.end() || found->second.epoch != counts.epoch
        || found->second.chosen.tokens.size() != counts.chosen.tokens.size()) {
        m_lastCounts.insert_or_assign(source, counts);
        return std::nullopt;
    }
    load_matrix sample = counts.chosen;
    for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
        sample.tokens[index] -= found->second.chosen.tokens[index];
        if (sample.tokens[index] < 0) {
            found->second = counts; // The engine started again and counts from zero.
            return std::nullopt;
        }
    }
    const double perExpert = sumOf(sample) / static_cast<double>(sample.tokens.size());
    if (perExpert < minSelectionsPerExpertOfSample) {
        return std::nullopt; // The counts before are kept, so the next sample includes this period.
    }
    m_latestSelections = perExpert;
    found->second = counts;
    return sample;
}

void demand_tracker::pool(const load_matrix &sample)
{
    if (!m_pool || m_pool->tokens.size() != sample.tokens.size()) {
        m_pool = load_matrix(sample.layers, sample.experts);
        m_pooledSelections = 0;
    }
    const auto cells = static_cast<double>(sample.tokens.size());
    const double kept = std::min(1.0, maxSelectionsPerExpert * cells / std::max(m_pooledSelections, 1.0));
    for (std::size_t index = 0; index < sample.tokens.size(); ++index) {
        m_pool->tokens[index] = kept * m_pool->tokens[index] + sample.tokens[index];
    }
    m_pooledSelections = kept * m_pooledSelections + sumOf(sample);
    if (m_pooledSelections < minSelectionsPerExpertOfDemand * cells) {
        return;
    }
    m_demand = m_pool;
    for (double &tokens : m_demand->tokens) {
        tokens *= static_cast<double>(sample.layers) / m_pooledSelections;
    }
}

demand_tracker::change demand_tracker::record(const std::string &source, const rank_counts &counts)
{
    const std::optional<load_matrix> sample = takeSample(source, counts);
    if (!sample) {
        return change::unknown;
    }
    const bool comparable = m_pool && m_pool->tokens.size() == sample->tokens.size();
    if (comparable && demandSimilarity(*m_pool, *sample) < minSteadySimilarity) {
        // What the other sources counted since their last sample is a mixture as well.
        m_lastCounts.clear();
        m_lastCounts.emplace(source, counts);
        m_pool.reset();
        m_pooledSelections = 0;
        m_demand.reset();
        return change::shifted;
    }
    pool(*sample);
    return change::steady;
}

demand_tracker::change demand_tracker::add(const std::string &source, const rank_counts &counts)
{
    const std::optional<load_matrix> sample = takeSample(source, counts);
    if (!sample) {
        return change::unknown;
    }
    pool(*sample);
    return change::steady;
}

} // namespace bronzechute
