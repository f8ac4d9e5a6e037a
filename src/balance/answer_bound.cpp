#include "balance/answer_bound.h"

#include <algorithm>
#include <cstdint>

namespace bronzechute {

std::chrono::milliseconds answerBound(const declared_answer &answer)
{
    if (!answer.mostTokens || answer.gapTarget.count() == 0) {
        return answer.timeLeft;
    }
    // Callers may declare any number; 64 bits hold the product.
    const std::int64_t perEvent = std::max(1, answer.tokensPerEvent);
    const std::int64_t events = (*answer.mostTokens + perEvent - 1) / perEvent;
    return std::min(answer.timeLeft, answer.latencyTarget + events * answer.gapTarget);
}

} // namespace bronzechute
