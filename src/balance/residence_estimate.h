#pragma once

#include "base/boot_clock.h"

#include <cstdint>

namespace bronzechute {

/**
 * Mean time that the requests of a gateway hold their slots, and their mean size, over about the last 10 s. By Little's
 * law, the mean time is the integral of the requests in flight over the requests that ended.
 */
class residence_estimate
{
public:
    /** @param tokens that the request asks for; 0 if they are not known */
    void recordPlaced(std::int64_t tokens, time_point now);
    void recordReleased(time_point now);

    /** @returns the mean time; an assumed one before requests have ended. */
    std::chrono::duration<double> mean(time_point now) const;

    /** @returns the mean tokens of the requests that told them; 0 if none did. */
    double meanTokens() const;

private:
    void advance(time_point now);

    time_point m_advancedAt {};
    int m_running = 0;
    double m_integral = 0; ///< Of the requests in flight, in seconds; decays.
    double m_released = 0; ///< Decays.
    double m_tokens = 0; ///< Decays.
    double m_sized = 0; ///< Placed requests that told their tokens; decays.
};

} // namespace bronzechute
