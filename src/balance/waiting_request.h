#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** A request that is queued until an endpoint has room for it. */
struct waiting_request
{
    std::uint64_t ticket = 0; ///< Identifies the request within its queue.
    int priority = 0; ///< 0 is the most urgent.
    std::string account;
    time_point arrivedAt {};
    time_point latestOnTimeStart {}; ///< Latest start with which the response meets its latency target.
    time_point expiresAt {}; ///< Latest start at all; the request expires then.
    bool returned = false; ///< Refused before, by a gateway or by an endpoint.
    bool cameBack = false; ///< Its caller was refused before by a gateway.
    bool repeated = false; ///< An endpoint was tried already.
    std::int64_t tokens = 0; ///< That it asks for, of its prompt and its response; 0 if they are not known.
    /** Set for a caller that has found its place: from then on it goes before all others of its priority. */
    std::optional<time_point> placeDeadline;

    friend bool operator==(const waiting_request &, const waiting_request &) = default;
};

} // namespace bronzechute
