#pragma once

#include "balance/group_room_share.h"
#include "balance/pass_latency_limiter.h"
#include "balance/recent_minimum.h"
#include "base/boot_clock.h"

#include <string>
#include <vector>

namespace bronzechute {

/** State of a rank group: endpoints that compute in lock-step, so that the failure of one stops all of them. */
struct endpoint_group
{
    std::string name; ///< Unique among all services.
    bool open = true; ///< As last reported by the coordinator.
    time_point closedUntil {}; ///< No requests until then, as the coordinator reported it closed.
    time_point refusedUntil {}; ///< Likewise, as an endpoint refused a request and named another as the cause.
    time_point progressAt {}; ///< Last event on any of its streams, or last time too few ran to detect a stall.
    pass_latency_limiter pace;
    recent_minimum eventInterval; ///< Of the gaps between events of its streams.
    int endpoints =
        0; ///< Listed endpoints that get requests; updated by endpoint_table::viewsOf(), as are the fields below.
    int running = 0; ///< Requests of all gateways.
    int ownRunning = 0; ///< Requests of this gateway.
    group_room_share room; ///< Of what it may run beyond `running` and below its limit.
    std::vector<bool> takes; ///< Levels of urgency whose requests it takes now; empty: all.
    bool isLimited = false; ///< Whether a limit is in force, so that the gateways share the room below it.
    pass_limit reported; ///< Limit as last written to the log.
    bool reportedBeyond = false; ///< Whether it ran more, as last written to the log.
    time_point reportedAt {}; ///< Time of that log line.
};

} // namespace bronzechute
