#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/**
 * Limits retries to a share of the requests plus a small minimum rate, so that retries do not multiply the load on a
 * failing pool.
 */
class retry_budget
{
public:
    /**
     * @param share retries allowed per request, 0.1 for 10%
     * @param floorPerSecond retries per second that are always allowed, for an entry with little traffic
     */
    explicit retry_budget(double share = 0.1, double floorPerSecond = 0.5);

    /** Counts the first attempt of a request. */
    void onRequest(time_point now);

    /** Counts a retry if the budget allows one. @returns whether the retry may be made now. */
    bool tryTake(time_point now);

private:
    void refill(time_point now);

    const double m_share;
    const double m_floorPerSecond;
    double m_tokens = 1;
    double m_floorTokens = 1;
    time_point m_refilledAt {};
};

} // namespace bronzechute
