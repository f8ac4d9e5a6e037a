#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/group_switch.h"
#include "gateway/gateway_endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** What the coordinator knows of one rank group. */
struct rank_group
{
    std::string name;
    std::string service;
    std::int64_t epoch = 0;
    bool open = true; ///< By the newest report.
    bool formedAgain = false; ///< Its map is the one of a new group, and no other was decided on yet.
    time_point askedAt {}; ///< When a report was last asked for.
    std::size_t asked = 0; ///< Rank whose report is asked for.
    std::vector<gateway_endpoint_ptr> ranks; ///< Null where the rank's engine was not found yet.
    std::int64_t version = 0; ///< Of the map in use.
    std::optional<expert_map> map; ///< In use; nothing until it is known.
    std::size_t expertsToRead = 0; ///< Ranks whose part of the map was asked for and not answered yet.
    std::optional<expert_map> next; ///< Of the switch under way.
    std::optional<group_switch> change;
    bool stepAsked = false;
    time_point changedAt {}; ///< End of the last switch.
    time_point checkedAt {}; ///< When the engines were last asked why a switch does not go on.
    std::int64_t heldStep = 0; ///< A hold that was reported while no switch was under way.
    time_point heldSeenAt {};

    /** @returns the engine of a rank, or null while none is known or listed. */
    gateway_endpoint_ptr listedRank(std::size_t rank) const
    {
        return ranks[rank] != nullptr && ranks[rank]->listed ? ranks[rank] : nullptr;
    }

    /** @returns whether the engines of all ranks are known. */
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
