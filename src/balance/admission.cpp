#include "balance/admission.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Minimum share of the starts that late requests are assumed to get: the difference of the two measured rates is
// unreliable, because both are measured over few requests.
constexpr double minLateStartShare = 0.25;

/** @returns the expected wait of a late request, which first attempts overtake. */
boot_clock::duration expectedLateWait(const queue_state &queue)
{
    const auto ahead = static_cast<std::int64_t>(queue.ahead + 1);
    if (queue.startInterval.count() == 0 || queue.arrivalInterval.count() == 0) {
        return queue.startInterval * ahead;
    }
    const double startsPerSecond = 1.0 / std::chrono::duration<double>(queue.startInterval).count();
    const double firstAttemptsPerSecond = 1.0 / std::chrono::duration<double>(queue.arrivalInterval).count();
    const double lateStartsPerSecond =
        std::max(startsPerSecond - firstAttemptsPerSecond, minLateStartShare * startsPerSecond);
    return std::chrono::duration_cast<boot_clock::duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / lateStartsPerSecond));
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
