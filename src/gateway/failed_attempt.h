#pragma once

#include "base/boot_clock.h"
#include "gateway/attempt_outcome.h"
#include "gateway/gateway_endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace bronzechute {

/** An attempt at an endpoint that ended without an answer, as the log shows it. */
struct failed_attempt
{
    gateway_endpoint_ptr endpoint;
    std::size_t number = 1; ///< Among the attempts of its request.
    attempt_outcome outcome = attempt_outcome::failed;
    std::string cause;
    int status = 0; ///< Of the response; 0 if there was none.
    std::int64_t events = 0; ///< Received of the stream.
    time_point startedAt {};
};

} // namespace bronzechute
