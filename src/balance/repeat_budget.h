#pragma once

#include "balance/repeat_limits.h"
#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/** Retry budget: limits the retries in a sliding window to a share of its requests plus a fixed number. */
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_limits &limits);

    /** Replaces the limits; retries that were already allowed still count. */
    void setLimits(const repeat_limits &limits);

    void onRequest(time_point now);

    /** Counts a retry if the budget allows one. @returns whether the retry may be sent now. */
    bool tryTake(time_point now);

private:
    void removeExpired(time_point now);

    repeat_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_retries;
};

} // namespace bronzechute
