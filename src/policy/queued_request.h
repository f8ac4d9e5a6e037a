#pragma once

#include "base/boot_clock.h"
#include "base/request_id.h"

#include <string>

namespace bronzechute {

/** A request in the queue of an endpoint process. */
struct queued_request
{
    request_id id;
    std::string account;
    int weight = 1; ///< Weight of the account in fair queueing, at least 1.
    int priority = 5; ///< 0..9, higher first.
    time_point deadline {}; ///< Latest time at which the request may start.

    friend bool operator==(const queued_request &, const queued_request &) = default;
};

} // namespace bronzechute
