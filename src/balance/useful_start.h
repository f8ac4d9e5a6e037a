#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Until when the start of a request at an endpoint is of use to its caller. */
struct useful_start
{
    time_point
        inTimeUntil; ///< Latest start with which the answer meets the target; the minimum when it is late already.
    time_point giveUpAt; ///< Latest start that is of use at all.

    friend bool operator==(const useful_start &, const useful_start &) = default;
};

/** What is known of a request that begins to wait for an endpoint. */
struct start_bounds
{
    time_point arrivedAt;
    boot_clock::duration target {}; ///< From the caller's first try to the answer, or to the first event of a stream.
    boot_clock::duration usual {}; ///< Usual time from the start at an endpoint to that moment.
    time_point deadline; ///< The caller or the route waits no longer.
    bool returned = false; ///< The caller was refused before, so that it is late, and has no further try.

    friend bool operator==(const start_bounds &, const start_bounds &) = default;
};

/** @param now when it begins to wait */
useful_start usefulStart(const start_bounds &bounds, time_point now);

} // namespace bronzechute
