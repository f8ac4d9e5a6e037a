#include "gateway/failed_attempt.h"

#include "gateway/prompt_parts.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr int maxSuspectDoublings = 4;

} // namespace

void recordFailedAttempt(const gateway_context &context, const failed_attempt &attempt)
{
    const time_point now = boot_clock::now();
    gateway_endpoint &endpoint = *attempt.endpoint;
    endpoint.suspectUntil = now + suspectPeriod * (1 << std::min(endpoint.consecutiveFailures, maxSuspectDoublings));
    ++endpoint.consecutiveFailures;
    context.endpoints.recordFailure(endpoint);
    const bool responded = attempt.outcome == attempt_outcome::refused || attempt.status >= statusBadRequest;
    if (!responded) {
        endpoint_table::recordSilence(endpoint, now);
    }
    context.metrics.countFailedAttempt(nameOf(attempt.outcome), attempt.events > 0);
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.startedAt);
    logLine(log_level::info, "gateway", "attempt failed",
            {{"request_id", attempt.requestId},
             {"endpoint", endpoint.record.id},
             {"peer", endpoint.record.address},
             {"attempt", attempt.number},
             {"end", nameOf(attempt.outcome)},
             {"cause", attempt.cause},
             {"status", attempt.status},
             {"events", attempt.events},
             {"parts", loggedParts(attempt.promptParts)},
             {"parts_total", attempt.promptParts.size()},
             {"after_ms", after.count()},
             {"own_running", endpoint.ownRunning},
             {"peers_running", endpoint.peersRunning}});
}

} // namespace bronzechute
