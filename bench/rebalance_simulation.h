#pragma once

#include "expert_demand.h"

#include <cstddef>
#include <cstdint>

namespace bronzechute {

enum class rebalance_policy : std::uint8_t { even, interval, greedy, decider, bound };

struct simulation_case
{
    demand_kind demand = demand_kind::gradual;
    bool straggler = false;
    std::size_t ranks = 4;
    std::uint64_t seed = 1;
};

struct simulation_result
{
    double skewExcess = 0; ///< Mean over time of slowest over mean rank, minus 1.
    double bytesMoved = 0;
    double pauseSeconds = 0;
    double tokensLost = 0; ///< By pauses and by loads that slow ranks down.
    double netTokens = 0;
    int rebalances = 0;
};

/** Runs the step time model for half an hour of simulated time. The bound pays nothing for its changes. */
simulation_result simulate(const simulation_case &scenario, rebalance_policy policy);

} // namespace bronzechute
