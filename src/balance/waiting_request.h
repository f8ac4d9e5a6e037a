#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <string>

namespace bronzechute {

/** A request that waits for an endpoint. */
struct waiting_request
{
    std::uint64_t ticket = 0; ///< Names the request within its line.
    int priority = 0; ///< 0 is the most urgent.
    std::string account;
    time_point arrivedAt {};
    time_point inTimeUntil {}; ///< Latest start with which the caller gets its answer within the target.
    time_point giveUpAt {}; ///< Latest start that is of use to the caller.
    bool returned = false; ///< It was refused before, to the caller or by an endpoint.
    bool lastTry = false; ///< The caller has come back and will not once more.

    friend bool operator==(const waiting_request &, const waiting_request &) = default;
};

} // namespace bronzechute
