#pragma once

#include "balance/pass_latency_limiter.h"
#include "balance/recent_minimum.h"
#include "base/boot_clock.h"

#include <string>

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
    bool atLimit = false; ///< Whether it runs as many requests as the target for its step time allows.
};

} // namespace bronzechute
