#pragma once

#include "balance/repeat_limits.h"
#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/** Bounds repeated sends in a sliding window by a share of the requests and a fixed number. */
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_limits &limits);

    /** Applies to the repeats to come. */
    void setLimits(const repeat_limits &limits);

    void onRequest(time_point now);

    /** @returns whether a repeat may be sent now; counts it. */
    bool tryTake(time_point now);

private:
    void forgetOld(time_point now);

    repeat_limits m_limits;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_repeats;
};

} // namespace bronzechute
