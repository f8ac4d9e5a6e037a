#pragma once

#include "balance/placement_cost.h"
#include "gateway/endpoint_obstacle.h"

#include <optional>
#include <string>

namespace bronzechute {

/** Whether and at which cost an endpoint could take a request now. */
struct endpoint_explanation
{
    std::string id;
    std::string dataCentre;
    std::string group; ///< Empty if it belongs to no rank group.
    int slots = 0;
    int ownRunning = 0; ///< Requests of the gateway in flight.
    int peersRunning = 0; ///< Those of the other gateways, as last reported.
    std::optional<endpoint_obstacle> obstacle; ///< Why it gets no request now.
    placement_cost cost;
    double probability = 0; ///< That the request would be sent there.

    friend bool operator==(const endpoint_explanation &, const endpoint_explanation &) = default;
};

} // namespace bronzechute
