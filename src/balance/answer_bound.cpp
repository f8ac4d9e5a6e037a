#include "balance/answer_bound.h"

#include <algorithm>

namespace bronzechute {

std::chrono::milliseconds answerBound(const declared_answer &answer)
{
    if (!answer.mostTokens || answer.gapTarget.count() == 0) {
        return answer.timeLeft;
    }
    const int events = (*answer.mostTokens + answer.tokensPerEvent - 1) / std::max(1, answer.tokensPerEvent);
    return std::min(answer.timeLeft, answer.latencyTarget + events * answer.gapTarget);
}

} // namespace bronzechute
