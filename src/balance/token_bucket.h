#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Token bucket rate limiter for requests. */
class token_bucket
{
public:
    /**
     * Sets the rate and the burst size. Tokens beyond the new burst size are discarded.
     *
     * @param perSecond tokens added per second; 0 disables the limit
     * @param burst maximum number of tokens
     */
    void configure(double perSecond, double burst);

    /** @returns whether a request may be sent now. */
    bool available(time_point now) const;

    /** @returns the earliest time at which a request may be sent, as long as none is sent before. */
    time_point availableAt(time_point now) const;

    /** Takes the token of a request that is sent. */
    void take(time_point now);

private:
    double tokensAt(time_point now) const;

    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    time_point m_updatedAt {};
};

} // namespace bronzechute
