#pragma once

#include "config/label_set.h"
#include "policy/serving_state.h"
#include "policy/warm_pace.h"

#include <string>
#include <vector>

namespace bronzechute {

/** Status that an endpoint process reports to entries with each heartbeat. */
struct endpoint_status
{
    serving_state state = serving_state::starting;
    std::string dataCentre;
    label_set labels; ///< Labels from the endpoint's own settings.
    std::vector<std::string> models; ///< Models that the engine serves; empty for a plain service.
    int inFlight = 0; ///< Requests from all entries that the endpoint process has admitted and not finished.
    int limit = 0; ///< Its current concurrency limit.
    int queued = 0; ///< Requests waiting in its queue.
    bool cold = false; ///< Whether the cold-start cap applies.
    std::string engineStartId; ///< Changes when the engine restarts.
    double meanServiceMs = 0; ///< Smoothed time from admission to end.
    warm_pace warmPace; ///< Entries remember it and pass it to the next process of this endpoint.

    friend bool operator==(const endpoint_status &, const endpoint_status &) = default;
};

} // namespace bronzechute
