#include "balance/answer_bound.h"

#include <algorithm>
#include <cstdint>

namespace bronzechute {

std::chrono::milliseconds answerBound(const declared_answer &answer)
{
    if (!answer.mostTokens || answer.gapTarget.count() == 0) {
        return answer.timeLeft;
    }
    // Callers may set any int as the token limit; in 64 bits the product below cannot overflow.
    const std::int64_t eventTokens = std::max(1, answer.tokensPerEvent);
    const std::int64_t events = (*answer.mostTokens + eventTokens - 1) / eventTokens;
    return std::min(answer.timeLeft, answer.latencyTarget + events * answer.gapTarget);
}

} // namespace bronzechute
