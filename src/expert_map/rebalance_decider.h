#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_load_estimator.h"
#include "expert_map/placement_planner.h"
#include "expert_map/rebalance_decision.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace bronzechute {

struct rebalance_settings
{
    std::size_t slots = 0; ///< Number of experts of one layer that fit into the memory of a rank.
    std::size_t maxLoadsPerRank = 0; ///< Number of staged experts that fit into memory beside the current ones.
    std::size_t maxLoadsPerHour = 0;
    /** Limit on the transfer time of one plan, so that the best moves take effect before the others are loaded. */
    double maxLoadSeconds = 3;
    std::uint64_t expertBytes = 0;
    double storeBytesPerSecond = 0; ///< This group's share of the weight store's throughput.
    double loadSlowdown = 0.1; ///< Relative increase of the step time while a rank loads.
    double pauseSeconds = 0.1; ///< Expected pause of a switch.
    double failureRiskSeconds = 0.2; ///< Expected loss from a failed switch: probability times duration.
    double minGainShare = 0.006; ///< Hysteresis: minimum relative decrease of the step time by a plan.
    // The gain is overestimated, because the search picks the best of many moves on a noisy estimate and demand changes
    // during the loads. In trials with bench/expert_map_bench (one seed), 1.5 moved 2.7 to 5.6 times the bytes for no
    // more net tokens, and 20 lost up to 1.4% of the net tokens.
    double minGainCostRatio = 12; ///< Minimum ratio of gain to cost, for a plan and for each of its loads.
    std::chrono::duration<double> minInterval {5};
    std::chrono::duration<double> maxReportAge {15};

    friend bool operator==(const rebalance_settings &, const rebalance_settings &) = default;
};

/** Input of a decision. */
struct rebalance_input
{
    const expert_map &current;
    const expert_load_estimator &estimator;
    const std::vector<double> &speeds; ///< Relative speed of each rank, from straggler_detector.
    double expertShare = 0.5; ///< Measured share of the step time that the most loaded ranks spend on experts.
    double queueSeconds = 0; ///< Time that loads of other groups ahead in the weight store's queue take.
};

/** Decides whether the gain of a new expert map outweighs its cost. */
class rebalance_decider
{
public:
    explicit rebalance_decider(const rebalance_settings &settings);

    rebalance_decision decide(time_point now, const rebalance_input &input) const;

    /** Counts a started rebalance towards the minimum interval and the hourly limit, even if it is not committed. */
    void recordStart(time_point now, std::size_t loads);

    void setPaused(bool paused)
    {
        m_paused = paused;
    }

    bool isPaused() const
    {
        return m_paused;
    }

private:
    std::size_t loadsLeft(time_point now) const;
    double minGainPerLoad(const rebalance_input &input, const load_matrix &load, double horizonSeconds) const;

    rebalance_settings m_settings;
    bool m_paused = false;
    std::deque<std::pair<time_point, std::size_t>> m_history; ///< Start and loads of the last hour's rebalances.
};

} // namespace bronzechute
