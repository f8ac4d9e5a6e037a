#include "balance/admission.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Without an endpoint nothing can be predicted; endpoints that restart are back within about this time.
constexpr std::chrono::milliseconds retryWithoutEndpoint {1000};
constexpr std::chrono::milliseconds shortestRetry {50};

} // namespace

admission_decision admit(const line_state &line, const waiting_request &request, time_point now, time_point returnBy)
{
    admission_decision decision;
    decision.expectedWait = line.startInterval * static_cast<std::int64_t>(line.ahead + 1);
    decision.admitted = line.anyUsable && now + decision.expectedWait <= request.giveUpAt;
    if (decision.admitted) {
        return decision;
    }
    const auto wait = line.anyUsable ? std::chrono::duration_cast<std::chrono::milliseconds>(decision.expectedWait)
                                     : retryWithoutEndpoint;
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(returnBy - now);
    decision.retryAfter = std::max(shortestRetry, std::min(wait, longest));
    return decision;
}

} // namespace bronzechute
