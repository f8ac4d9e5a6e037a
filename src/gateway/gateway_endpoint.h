#pragma once

#include "balance/token_bucket.h"
#include "base/boot_clock.h"
#include "gateway/endpoint_group.h"
#include "routing/endpoint_record.h"

#include <memory>
#include <vector>

namespace bronzechute {

class endpoint_channel;

/** What a gateway knows of one start of an endpoint. */
struct gateway_endpoint
{
    endpoint_record record;
    std::shared_ptr<endpoint_group> group; ///< Null for an endpoint that runs by itself, or is not known not to.
    bool listed = true; ///< False from the moment at which it may get nothing new.
    int ownRunning = 0; ///< Requests that this gateway has sent and that have not ended.
    int peersRunning = 0; ///< Requests of the other gateways, as last heard.
    int failures = 0; ///< In a row.
    time_point avoidUntil {}; ///< Suspect until then.
    double longestGapMs = 0; ///< Of its recent streams; falls slowly after a long pause.
    double gapMs = 0; ///< Smoothed pause between the events of its streams; 0 before the first.
    token_bucket coldRate; ///< Keeps all gateways together within what it bears when cold.
    std::vector<std::shared_ptr<endpoint_channel>> idleChannels;
};

using gateway_endpoint_ptr = std::shared_ptr<gateway_endpoint>;

} // namespace bronzechute
