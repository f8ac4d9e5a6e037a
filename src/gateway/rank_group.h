#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/group_switch.h"
#include "expert_map/rank_speed_tracker.h"
#include "expert_map/step_time_trend.h"
#include "expert_map/switch_schedule.h"
#include "gateway/gateway_endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** State of one rank group at the coordinator. */
struct rank_group
{
    std::string name;
    std::string service;
    std::int64_t epoch = 0;
    bool open = true; ///< As of the latest report.
    bool reformed = false; ///< The group formed anew with the initial map, and no switch was planned since.
    time_point reportRequestedAt {}; ///< When a report was last requested.
    std::size_t reportRank = 0; ///< Rank whose report is requested next.
    std::vector<gateway_endpoint_ptr> ranks; ///< Null for ranks whose engine is not known yet.
    std::int64_t version = 0; ///< Version of the map in use.
    std::optional<expert_map> map; ///< The map in use; absent until it is known.
    std::size_t pendingExpertReads = 0; ///< Outstanding requests for parts of the map.
    std::optional<expert_map> pendingMap; ///< Map of the switch in progress, or the map that is being read.
    std::optional<group_switch> mapSwitch;
    std::int64_t step = 0; ///< The last step known to have begun.
    std::int64_t switchStep = 0; ///< Step from which on the map in use applies; its ranks are armed until then.
    rank_speed_tracker speeds;
    bool stepRequested = false;
    switch_schedule schedule;
    step_time_trend stepTimes;
    time_point checkedAt {}; ///< When an engine was last asked why a switch makes no progress, or the hold began.
    std::size_t checkedRank = 0; ///< Rank that is asked.
    std::int64_t heldStep = 0; ///< Step of a hold that was reported while no switch was in progress.
    time_point heldSeenAt {};

    /** @returns the engine of a rank, or null if none is known and listed. */
    gateway_endpoint_ptr listedRank(std::size_t rank) const
    {
        return ranks[rank] != nullptr && ranks[rank]->listed ? ranks[rank] : nullptr;
    }

    /** @returns whether the last switch is complete, so that the engines accept another one. */
    bool switchBegun() const
    {
        return step >= switchStep;
    }

    /** @returns the recent duration of a step, from the streams of this gateway; zero when unknown. */
    boot_clock::duration meanStepTime(time_point now) const;

    /** @returns the duration of the longest recent steps, from the streams of this gateway; zero when unknown. */
    boot_clock::duration longestStepTime(time_point now) const;

    /** @returns whether the group uses the map with which it formed. */
    bool hasInitialMap() const
    {
        return map.has_value() && version == 0;
    }

    /** @returns whether the engines of all ranks are known and listed. */
    bool complete() const
    {
        for (const gateway_endpoint_ptr &rank : ranks) {
            if (rank == nullptr || !rank->listed) {
                return false;
            }
        }
        return !ranks.empty();
    }
};

} // namespace bronzechute
