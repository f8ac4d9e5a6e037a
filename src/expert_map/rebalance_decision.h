#pragma once

#include "expert_map/placement_plan.h"

#include <cstdint>
#include <string>

namespace bronzechute {

enum class rebalance_reason : std::uint8_t {
    rebalance, ///< The plan pays and is to be carried out.
    paused_by_operator,
    no_reports, ///< There is no load report, or the newest is too old to act on.
    too_soon, ///< The last rebalance is more recent than the minimum interval.
    move_limit, ///< The loads allowed in an hour are used up.
    balanced, ///< The possible gain is below the hysteresis.
    does_not_pay, ///< Loads, pause and risk cost more than the gain until demand drifts again.
};

/** Whether to rebalance, with the figures that decided. Times are seconds of the group's run time. */
struct rebalance_decision
{
    rebalance_reason reason = rebalance_reason::no_reports;
    placement_plan plan; ///< Set when a plan was made.
    double gainShare = 0; ///< Part of the step time that the plan saves.
    double horizonSeconds = 0; ///< Expected time until demand drifts again, after the loads.
    double gainSeconds = 0;
    double costSeconds = 0;

    bool accepted() const
    {
        return reason == rebalance_reason::rebalance;
    }

    /** @returns one line for operators. */
    std::string toString() const;

    friend bool operator==(const rebalance_decision &, const rebalance_decision &) = default;
};

} // namespace bronzechute
