#include "balance/admission.h"

#include <algorithm>

namespace bronzechute {

namespace {

// A wait that no request is admitted for.
constexpr std::chrono::minutes endlessWait {1};

/** @returns the expected wait of a late request, which first attempts overtake. */
boot_clock::duration expectedLateWait(const queue_state &queue)
{
    const auto ahead = static_cast<std::int64_t>(queue.ahead + 1);
    if (queue.startInterval.count() == 0 || queue.arrivalInterval.count() == 0) {
        return queue.startInterval * ahead;
    }
    const double startsPerSecond = 1.0 / std::chrono::duration<double>(queue.startInterval).count();
    const double firstAttemptsPerSecond = 1.0 / std::chrono::duration<double>(queue.arrivalInterval).count();
    const double lateStartsPerSecond = std::max(startsPerSecond - firstAttemptsPerSecond - queue.returnsPerSecond,
                                                queue.leastLateShare * startsPerSecond);
    if (lateStartsPerSecond <= 0) {
        return endlessWait;
    }
    const std::chrono::duration<double> wait(static_cast<double>(ahead) / lateStartsPerSecond);
    return std::chrono::duration_cast<boot_clock::duration>(std::min<std::chrono::duration<double>>(wait, endlessWait));
}

} // namespace

admission_decision admit(const queue_state &queue, const waiting_request &request, time_point now)
{
    admission_decision decision;
    if (!queue.anyUsable) {
        decision.admitted = queue.ahead < queue.ownSlots && now < request.expiresAt;
        return decision;
    }
    decision.expectedWait = queue.startInterval * static_cast<std::int64_t>(queue.ahead + 1);
    if (now + decision.expectedWait > request.latestOnTimeStart) {
        decision.expectedWait = expectedLateWait(queue);
    }
    decision.admitted = now + decision.expectedWait <= request.expiresAt;
    return decision;
}

} // namespace bronzechute
