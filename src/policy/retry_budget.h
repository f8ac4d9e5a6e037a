#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/**
 * Bounds retries to a share of the requests plus a small floor, so that a failing pool does not get a multiple of its
 * load.
 */
class retry_budget
{
public:
    /**
     * @param share retries for each request, 0.1 for 10%
     * @param floorPerSecond retries a second that are always allowed, for an entry with little traffic
     */
    explicit retry_budget(double share = 0.1, double floorPerSecond = 0.5);

    /** A first attempt was made. */
    void onRequest(time_point now);

    /** @returns whether a retry may be made now; counts it. */
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
