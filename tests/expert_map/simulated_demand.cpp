#include "simulated_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

constexpr std::size_t topics = 9;
constexpr std::size_t passesOfRequest = 19;

} // namespace

simulated_demand::simulated_demand(const demand_shape &shape, std::uint64_t seed)
    : m_shape(shape)
    , m_random(seed)
    , m_requests(shape.ranks)
    , m_uncounted(shape.ranks, std::vector<double>(topics, 0.0))
    , m_counts(shape.ranks, load_matrix(shape.layers, shape.experts))
{
    m_common = popularity();
    for (std::size_t topic = 0; topic < topics; ++topic) {
        m_topics.push_back(popularity());
    }
    for (auto &requests : m_requests) {
        for (int request = 0; request < m_shape.requestsPerRank; ++request) {
            requests.push_back(m_random() % topics);
        }
    }
}

load_matrix simulated_demand::popularity()
{
    load_matrix result(m_shape.layers, m_shape.experts);
    std::vector<double> frequencies(m_shape.experts);
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
        frequencies[expert] = std::pow(static_cast<double>(expert + 1), -m_shape.exponent);
    }
    const double total = std::accumulate(frequencies.begin(), frequencies.end(), 0.0);
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        std::ranges::shuffle(frequencies, m_random);
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            result.at(layer, expert) = frequencies[expert] / total;
        }
    }
    return result;
}

void simulated_demand::shift()
{
    const auto shifted = static_cast<std::size_t>(m_shape.shiftedShare * static_cast<double>(m_shape.experts));
    const auto exchange = [&](load_matrix &popularity) {
        for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
            std::vector<std::size_t> chosen(m_shape.experts);
            std::iota(chosen.begin(), chosen.end(), std::size_t {0});
            std::ranges::shuffle(chosen, m_random);
            const double first = popularity.at(layer, chosen[0]);
            for (std::size_t index = 0; index + 1 < shifted; ++index) {
                popularity.at(layer, chosen[index]) = popularity.at(layer, chosen[index + 1]);
            }
            popularity.at(layer, chosen[shifted - 1]) = first;
        }
    };
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        counts(rank); // What was selected so far was selected by the demand so far.
    }
    exchange(m_common);
    std::ranges::for_each(m_topics, exchange);
}

void simulated_demand::pass()
{
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        for (std::size_t &topic : m_requests[rank]) {
            m_uncounted[rank][topic] += 1;
            topic = m_random() % passesOfRequest == 0 ? m_random() % topics : topic;
        }
    }
}

const load_matrix &simulated_demand::counts(std::size_t rank)
{
    std::vector<double> &passes = m_uncounted[rank];
    const double all = std::accumulate(passes.begin(), passes.end(), 0.0);
    for (std::size_t index = 0; all > 0 && index < m_common.tokens.size(); ++index) {
        double mean = all * m_shape.common * m_common.tokens[index];
        for (std::size_t topic = 0; topic < topics; ++topic) {
            mean += passes[topic] * (1 - m_shape.common) * m_topics[topic].tokens[index];
        }
        m_counts[rank].tokens[index] += std::poisson_distribution<int>(mean * m_shape.selectionsPerPass)(m_random);
    }
    std::ranges::fill(passes, 0.0);
    return m_counts[rank];
}

load_matrix simulated_demand::demand() const
{
    load_matrix result = m_common;
    std::vector<double> requests(topics, 0.0);
    for (const auto &ofRank : m_requests) {
        for (const std::size_t topic : ofRank) {
            requests[topic] += 1;
        }
    }
    const double all = std::accumulate(requests.begin(), requests.end(), 0.0);
    for (std::size_t index = 0; index < result.tokens.size(); ++index) {
        result.tokens[index] *= m_shape.common;
        for (std::size_t topic = 0; topic < topics; ++topic) {
            result.tokens[index] += (1 - m_shape.common) * m_topics[topic].tokens[index] * requests[topic] / all;
        }
    }
    return result;
}

} // namespace bronzechute
