#pragma once

#include "routing/request_kind.h"
#include "routing/weighted_service.h"

#include <chrono>
#include <string>
#include <vector>

namespace bronzechute {

/** How requests of one host and path prefix are served. */
struct route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services; ///< At least one, with weights above 0 in sum.
    std::chrono::milliseconds timeout {0}; ///< Longest time to the end of the answer.
    std::chrono::milliseconds latencyTarget {0}; ///< To the answer, or to the first event of a stream.
    std::chrono::milliseconds gapTarget {0}; ///< Longest pause between two events; 0 when none is declared.
    int maxAttempts = 1; ///< Endpoints to which one request may be sent.
    int priority = 0; ///< 0 is the most urgent.
    bool anonymous = false; ///< Whether requests without a key are served.
    bool resumable = false; ///< Whether a stream may continue at another endpoint after a given event.

    /** @returns whether a request that may have run may be sent again. */
    bool repeatable() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && resumable);
    }

    friend bool operator==(const route &, const route &) = default;
};

} // namespace bronzechute
