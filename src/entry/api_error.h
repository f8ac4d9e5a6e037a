#pragma once

#include "http/http_reply.h"
#include "request/request_outcome.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** An answer of the entry itself, in place of one of a back end. */
struct api_error
{
    int status = 500;
    std::string code; ///< Stable name for programs, for example "unknown_model".
    std::string message; ///< For people.
    std::string field; ///< The field or header that is wrong; empty when none is.
    request_outcome outcome = request_outcome::not_run;
    std::chrono::milliseconds retryAfter {0}; ///< When another try is worth while; 0: not said.

    friend bool operator==(const api_error &, const api_error &) = default;

    /** @returns the JSON error with the headers X-Bronzechute-Outcome, X-Request-Id and Retry-After. */
    http_reply toReply(const std::string &requestId) const;
};

} // namespace bronzechute
