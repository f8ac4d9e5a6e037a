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
    std::size_t slots = 0; ///< Experts of one layer that the memory of each rank holds.
    std::size_t maxLoadsPerRank = 0; ///< Room for staged experts beside the current ones.
    std::size_t maxLoadsPerHour = 0;
    double maxLoadSeconds = 3; ///< Transfer time of one plan: the best moves take effect before the others load.
    std::uint64_t expertBytes = 0;
    double storeBytesPerSecond = 0; ///< This group's share of the weight store's rate.
    double loadSlowdown = 0.1; ///< Part by which the step time grows while a rank loads.
    double pauseSeconds = 0.1; ///< Expected pause of a switch.
    double riskSeconds = 0.2; ///< Expected loss by a switch that fails: probability times duration.
    double minGainShare = 0.006; ///< Hysteresis: part of the step time that a plan must save.
    // The search takes the best of many moves on a noisy estimate, and demand moves on while they load, so the gain is
    // overestimated. In trials of bench/expert_map_bench with one seed, 1.5 moved 2.7 to 5.6 times the bytes for no
    // more net tokens, and 20 lost up to 1.4% of them.
    double payback = 12; ///< Gain over cost that a plan, and each of its loads, must bring.
    std::chrono::duration<double> minInterval {5};
    std::chrono::duration<double> maxReportAge {15};

    friend bool operator==(const rebalance_settings &, const rebalance_settings &) = default;
};

/** What the decision rests on at one time. */
struct rebalance_input
{
    const expert_map &current;
    const expert_load_estimator &estimator;
    const std::vector<double> &speeds; ///< Relative speed of each rank, from straggler_detector.
    double expertShare = 0.5; ///< Part of the step time that is the slowest ranks' expert work, as measured.
    double queueSeconds = 0; ///< Loads of other groups that are ahead in the weight store's queue.
};

/** Decides when a new expert map pays. */
class rebalance_decider
{
public:
    explicit rebalance_decider(const rebalance_settings &settings);

    rebalance_decision decide(time_point now, const rebalance_input &input) const;

    /** Counts a rebalance that has begun against interval and limit, whether or not it is committed later. */
    void began(time_point now, std::size_t loads);

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
    std::deque<std::pair<time_point, std::size_t>> m_history; ///< Begin and loads of the last hour's rebalances.
};

} // namespace bronzechute
