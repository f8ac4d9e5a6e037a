#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** A token bucket: bounds how many requests are sent in any second. */
class token_bucket
{
public:
    /** Sets the bounds, for the time to come. @param perSecond 0: not limited. */
    void configure(double perSecond, double burst);

    /** @returns whether a request may be sent now. */
    bool available(time_point now) const;

    void take(time_point now);

private:
    double tokensAt(time_point now) const;

    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    time_point m_updatedAt {};
};

} // namespace bronzechute
