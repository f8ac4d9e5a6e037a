#pragma once

#include "http/http_reply.h"
#include "request/request_outcome.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** An error reply that the entry generates itself instead of relaying the answer of a back end. */
struct api_error
{
    int status = 500;
    std::string code; ///< Stable, machine-readable identifier, for example "unknown_model".
    std::string message; ///< Human-readable description.
    std::string field; ///< The invalid field or header; empty when the error concerns none.
    request_outcome outcome = request_outcome::not_run;
    std::chrono::milliseconds retryAfter {0}; ///< Delay before a retry; 0 omits the Retry-After header.

    friend bool operator==(const api_error &, const api_error &) = default;

    /**
     * @returns the reply with a JSON body and the headers X-Bronzechute-Outcome and X-Request-Id, and Retry-After when
     *          a delay is set
     */
    http_reply toReply(const std::string &requestId) const;
};

} // namespace bronzechute
