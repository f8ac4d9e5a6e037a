#include "balance/admission.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Share of the starts that is left to late requests at the least: both rates are measured over few requests.
constexpr double leastShare = 0.25;

/** @returns the expected wait of a request that first tries overtake. */
boot_clock::duration lateWait(const line_state &line)
{
    const auto ahead = static_cast<std::int64_t>(line.ahead + 1);
    if (line.startInterval.count() == 0 || line.arrivalInterval.count() == 0) {
        return line.startInterval * ahead;
    }
    const double starts = 1.0 / std::chrono::duration<double>(line.startInterval).count();
    const double firstTries = 1.0 / std::chrono::duration<double>(line.arrivalInterval).count();
    const double left = std::max(starts - firstTries, leastShare * starts);
    return std::chrono::duration_cast<boot_clock::duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / left));
}

} // namespace

admission_decision admit(const line_state &line, const waiting_request &request, time_point now)
{
    admission_decision decision;
    decision.expectedWait = line.startInterval * static_cast<std::int64_t>(line.ahead + 1);
    if (now + decision.expectedWait > request.inTimeUntil) {
        decision.expectedWait = lateWait(line);
    }
    // A caller that has come back has no further try: it waits for an endpoint that may work again.
    const bool mayStart = line.anyUsable || request.lastTry;
    decision.admitted = mayStart && now + decision.expectedWait <= request.giveUpAt;
    return decision;
}

} // namespace bronzechute
