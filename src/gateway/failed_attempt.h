#pragma once

#include "base/boot_clock.h"
#include "gateway/attempt_outcome.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute {

// After a failure, other endpoints are preferred for this time, doubled with each consecutive one.
constexpr std::chrono::milliseconds suspectPeriod {250};

/** An attempt at an endpoint that ended without an answer, as the log shows it. */
struct failed_attempt
{
    gateway_endpoint_ptr endpoint;
    std::string requestId;
    std::vector<std::string> promptParts;
    std::size_t number = 1; ///< Among the attempts of its request.
    attempt_outcome outcome = attempt_outcome::failed;
    std::string cause;
    int status = 0; ///< Of the response; 0 if there was none.
    std::int64_t events = 0; ///< Received of the stream.
    time_point startedAt {};
};

/** Counts and logs the attempt, and lets other endpoints be preferred for a while. */
void recordFailedAttempt(const gateway_context &context, const failed_attempt &attempt);

} // namespace bronzechute
