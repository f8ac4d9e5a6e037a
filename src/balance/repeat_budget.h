#pragma once

#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/** Bounds repeated sends in a sliding window by a share of the requests and a fixed allowance. */
class repeat_budget
{
public:
    /**
     * @param share repeats for each request of the window
     * @param fixed repeats that are allowed in each window beside that
     */
    repeat_budget(boot_clock::duration window, double share, double fixed);

    /** The fixed part changes with the number of gateways that share it. */
    void setFixed(double fixed);

    void onRequest(time_point now);

    /** @returns whether a repeat may be sent now; counts it. */
    bool tryTake(time_point now);

private:
    void forgetOld(time_point now);

    const boot_clock::duration m_window;
    const double m_share;
    double m_fixed;
    std::deque<time_point> m_requests;
    std::deque<time_point> m_repeats;
};

} // namespace bronzechute
