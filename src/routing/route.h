#pragma once

#include "routing/request_kind.h"
#include "routing/weighted_service.h"

#include <chrono>
#include <string>
#include <vector>

namespace bronzechute {

/** Routing rule for requests with one host and path prefix. */
struct route
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::vector<weighted_service> services; ///< At least one; the sum of the weights is above 0.
    std::chrono::milliseconds timeout {0}; ///< Longest time to the end of the response.
    std::chrono::milliseconds latencyTarget {0}; ///< Target time to the response, or to the first event of a stream.
    std::chrono::milliseconds gapTarget {0}; ///< Longest accepted gap between two stream events; 0: none declared.
    int maxAttempts = 1; ///< Maximum number of endpoints to which one request is sent.
    int priority = 0; ///< 0 is the most urgent.
    bool anonymous = false; ///< Whether requests without an API key are accepted.
    bool resumable = false; ///< Whether an interrupted stream may resume at another endpoint after its last event.

    /** @returns whether a request may be retried although an endpoint may already have run it. */
    bool repeatable() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::streaming && resumable);
    }

    friend bool operator==(const route &, const route &) = default;
};

} // namespace bronzechute
