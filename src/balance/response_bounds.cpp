#include "balance/response_bounds.h"

#include <algorithm>
#include <cstdint>

namespace bronzechute {

std::chrono::milliseconds maxResponseTime(const response_bounds &bounds)
{
    if (!bounds.maxTokens || bounds.gapTarget.count() == 0) {
        return bounds.timeLeft;
    }
    // Callers may set any int as the token limit; in 64 bits the product below cannot overflow.
    const std::int64_t eventTokens = std::max(1, bounds.tokensPerEvent);
    const std::int64_t events = (*bounds.maxTokens + eventTokens - 1) / eventTokens;
    return std::min(bounds.timeLeft, bounds.latencyTarget + events * bounds.gapTarget);
}

} // namespace bronzechute
