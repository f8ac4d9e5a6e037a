#pragma once

namespace bronzechute {

/** Why an endpoint gets no request now. */
enum class endpoint_obstacle {
    not_listed, ///< Removed or replaced.
    leaving, ///< It finishes its running requests.
    data_centre_out_of_service,
    group_closed, ///< Its rank group is down, as the coordinator reported.
    group_refused, ///< An endpoint of its rank group refused a request because of another one.
    group_stalls, ///< The streams of its rank group make no progress.
    paused, ///< It has asked this gateway for a pause.
    slow, ///< It would slow its rank group down.
    cold_rate, ///< The rate limit of endpoints that may be cold allows no request now.
    group_at_limit, ///< Its rank group runs as many requests as the target for the time between events allows.
    no_free_slot,
    too_slow, ///< The request would miss its deadline there.
};

/** @returns the name of an obstacle as it is shown to operators. */
const char *nameOf(endpoint_obstacle obstacle);

} // namespace bronzechute
