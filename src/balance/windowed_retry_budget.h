#pragma once

#include "balance/retry_budget_state.h"
#include "balance/retry_limits.h"
#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/**
 * Retry budget: limits the retries in a sliding window to a share of its requests plus a fixed number.
 *
 * The fixed number is not available in the first window after the start of the process: an earlier process in its
 * place, of which nothing is known, may have used it just before.
 */
class windowed_retry_budget
{
public:
    /** @param startedAt start of the process */
    windowed_retry_budget(const retry_limits &limits, time_point startedAt);

    /** Replaces the limits; retries that were already allowed still count. */
    void setLimits(const retry_limits &limits);

    void onRequest(time_point now);

    /** @returns whether a retry may be sent now. */
    bool allows(time_point now);

    /** Counts a retry if the budget allows one. @returns whether the retry may be sent now. */
    bool tryTake(time_point now);

    retry_budget_state state(time_point now);

private:
    void removeExpired(time_point now);

    retry_limits m_limits;
    time_point m_startedAt;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

} // namespace bronzechute
