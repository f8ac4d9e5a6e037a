#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Latest times at which a queued request may start at an endpoint. */
struct start_deadlines
{
    time_point latestOnTimeStart; ///< Latest start that meets the latency target; time_point::min() for a retry, which
                                  ///< is late.
    time_point expiresAt; ///< Latest start at all; the request expires then.

    friend bool operator==(const start_deadlines &, const start_deadlines &) = default;
};

/** Properties of a request that determine how late it may start. */
struct start_conditions
{
    time_point arrivedAt;
    boot_clock::duration target {}; ///< From the caller's first attempt to the response or the first stream event.
    boot_clock::duration serviceTime {}; ///< Typical time from the start at an endpoint to that response or event.
    time_point deadline; ///< Earlier of the caller's and the route's deadline.
    bool returned = false; ///< The request is a retry after a refusal: it is late, and the caller will not retry again.
    bool outage = false; ///< No endpoint accepts requests.

    friend bool operator==(const start_conditions &, const start_conditions &) = default;
};

/** @param now time at which the request is queued */
start_deadlines startDeadlines(const start_conditions &conditions, time_point now);

} // namespace bronzechute
