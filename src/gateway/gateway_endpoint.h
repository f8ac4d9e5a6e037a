#pragma once

#include "balance/endpoint_warmth.h"
#include "balance/token_bucket.h"
#include "base/boot_clock.h"
#include "gateway/endpoint_group.h"
#include "routing/endpoint_record.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace bronzechute {

class endpoint_connection;

/** State of one endpoint process as seen by this gateway. A restarted endpoint gets a new object. */
struct gateway_endpoint
{
    endpoint_record record;
    std::shared_ptr<endpoint_group> group; ///< Null if the endpoint is not known to belong to a rank group.
    bool listed = true; ///< False once it was removed or replaced and must get no new requests.
    int ownRunning = 0; ///< Requests of this gateway in flight.
    int peersRunning = 0; ///< Requests of the other gateways in flight, as last reported.
    std::int64_t ownTokens = 0; ///< Work of the requests of this gateway in flight, see placement_client::tokens().
    std::int64_t peersTokens = 0; ///< Work of those of the other gateways, as last reported.
    double foreseen = 0; ///< Requests that the other gateways probably placed since their reports, see load_forecast.
    int consecutiveFailures = 0; ///< Failed attempts since the last response.
    time_point suspectUntil {}; ///< Other endpoints are preferred until then.
    time_point avoidedUntil {}; ///< No requests until then, as the endpoint would slow its whole rank group down.
    bool saysLeaving = false; ///< It has said so in a response; holds for this run of it, whatever the directory says.
    time_point pausedUntil {}; ///< It has asked this gateway for no requests until then.
    bool hasInvalidPause = false; ///< It has sent a pause that was ignored.
    double longestGapMs = 0; ///< Peak time between events of its recent streams; decays with each event.
    double gapMs = 0; ///< Moving average of the time between events; 0 before the first.
    double lastGapMs = 0; ///< Time between the latest two events of one of its streams; 0 before the first.
    time_point lastGapAt {}; ///< When lastGapMs was measured.
    endpoint_warmth warmth;
    bool mayWarm = true; ///< Whether this gateway may send to the endpoint while it is not known to be warm.
    token_bucket coldRate; ///< This gateway's share of the rate limit while the endpoint is not known to be warm.
    token_bucket warmRate; ///< This gateway's share of the rate limit otherwise.
    std::vector<std::shared_ptr<endpoint_connection>> idleConnections;
};

using gateway_endpoint_ptr = std::shared_ptr<gateway_endpoint>;

} // namespace bronzechute
