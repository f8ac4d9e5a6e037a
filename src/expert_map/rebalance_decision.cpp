#include "expert_map/rebalance_decision.h"

#include <cstdio>

namespace bronzechute {

namespace {

const char *textOf(rebalance_reason reason)
{
    switch (reason) {
    case rebalance_reason::rebalance:
        return "rebalance";
    case rebalance_reason::paused_by_operator:
        return "no rebalance: paused by an operator";
    case rebalance_reason::no_reports:
        return "no rebalance: no recent load report";
    case rebalance_reason::too_soon:
        return "no rebalance: minimum interval since the last rebalance has not elapsed";
    case rebalance_reason::hourly_load_limit:
        return "no rebalance: hourly limit of expert loads reached";
    case rebalance_reason::balanced:
        return "no rebalance: possible gain below the hysteresis threshold";
    case rebalance_reason::low_gain_cost_ratio:
        return "no rebalance: expected gain too low for the cost";
    }
    return "unknown reason";
}

} // namespace

std::string rebalance_decision::toString() const
{
    char figures[160];
    std::snprintf(figures, sizeof figures, " (%zu loads, step time -%.1f%% for %.0f s: gain %.2f s, cost %.2f s)",
                  plan.loads, gainShare * 100, horizonSeconds, gainSeconds, costSeconds);
    return textOf(reason) + std::string(plan.map.copies.empty() ? "" : figures);
}

} // namespace bronzechute
