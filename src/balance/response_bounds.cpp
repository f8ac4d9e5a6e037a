#include "balance/response_bounds.h"

#include <algorithm>
#include <cstdint>

namespace bronzechute {

std::chrono::milliseconds maxResponseTime(const response_bounds &answer)
{
    if (!answer.maxTokens || answer.gapTarget.count() == 0) {
        return answer.timeLeft;
    }
    // Callers may set any int as the token limit; in 64 bits the product below cannot overflow.
    const std::int64_t eventTokens = std::max(1, answer.tokensPerEvent);
    const std::int64_t events = (*answer.maxTokens + eventTokens - 1) / eventTokens;
    return std::min(answer.timeLeft, answer.latencyTarget + events * answer.gapTarget);
}

} // namespace bronzechute
