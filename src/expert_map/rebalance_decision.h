#pragma once

#include "expert_map/placement_plan.h"

#include <cstdint>
#include <string>

namespace bronzechute {

enum class rebalance_reason : std::uint8_t {
    rebalance, ///< The gain of the plan outweighs its cost; the plan is to be executed.
    paused_by_operator,
    no_reports, ///< There is no load report, or the newest one is too old.
    too_soon, ///< The minimum interval since the last rebalance has not elapsed.
    hourly_load_limit, ///< The hourly limit of loads is reached.
    balanced, ///< The possible gain is below the hysteresis threshold.
    low_gain_cost_ratio, ///< The gain until demand drifts again does not outweigh the cost of loads, pause and risk.
};

/** The decision whether to rebalance, with its reason. Times are seconds of the group's run time. */
struct rebalance_decision
{
    rebalance_reason reason = rebalance_reason::no_reports;
    placement_plan plan; ///< Empty if no plan was computed.
    double gainShare = 0; ///< Share of the step time that the plan saves.
    double horizonSeconds = 0; ///< Expected time until demand drifts again, after the loads.
    double gainSeconds = 0;
    double costSeconds = 0;

    bool accepted() const
    {
        return reason == rebalance_reason::rebalance;
    }

    /** @returns a one-line summary for operators. */
    std::string toString() const;

    friend bool operator==(const rebalance_decision &, const rebalance_decision &) = default;
};

} // namespace bronzechute
