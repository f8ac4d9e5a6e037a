#pragma once

#include "expert_map/rank_counts.h"

#include <cstddef>
#include <random>
#include <vector>

namespace bronzechute {

/** Shape of a simulated rank group and of the demand for its experts. */
struct demand_shape
{
    std::size_t ranks = 72;
    std::size_t layers = 12;
    std::size_t experts = 144;
    double exponent =
        0.53; ///< The n-th most popular expert is selected with a frequency of n to the power of minus this.
    double common = 0.7; ///< Share of the selections that does not depend on the topic of a request.
    double shiftedShare = 0.6; ///< Share of the experts whose popularity changes in a shift.
    int requestsPerRank = 6;
    double selectionsPerPass = 240; ///< Of one request in one layer.
};

/** Requests of a rank group, each with one of some topics, and the experts that they select. */
class simulated_demand
{
public:
    simulated_demand(const demand_shape &shape, std::uint64_t seed);

    /** Exchanges the popularity of some experts. */
    void shift();

    /** All requests execute a pass; some of them end and are replaced. */
    void pass();

    /** @returns the selections by the requests of a rank so far. */
    const load_matrix &counts(std::size_t rank);

    /** @returns the demand of the running requests of all ranks. */
    load_matrix demand() const;

private:
    load_matrix popularity();

    demand_shape m_shape;
    std::mt19937_64 m_random;
    load_matrix m_common;
    std::vector<load_matrix> m_topics;
    std::vector<std::vector<std::size_t>> m_requests; ///< Topics of the requests, by rank.
    std::vector<std::vector<double>> m_uncounted; ///< Passes of requests not in m_counts yet, by rank, then topic.
    std::vector<load_matrix> m_counts; ///< By rank.
};

} // namespace bronzechute
