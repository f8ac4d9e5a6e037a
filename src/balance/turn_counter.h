#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/**
 * Keeps a share of the starts for a class of requests that others go before: one start in a number. It counts instead
 * of measuring rates, so that the share is kept at a gateway that starts few requests a second.
 */
class turn_counter
{
public:
    /** @param interval the class is sure of one start in this many */
    explicit turn_counter(int interval);

    /** A request of the class arrived. Without that for a while, no turn is kept. */
    void recordDemand(time_point now);

    /** A request was started. @param own whether it belongs to the class */
    void recordStart(bool own, time_point now);

    /** @returns whether the next start is for the class. */
    bool isDue() const;

    /** @returns the starts of others before that. */
    int startsUntilTurn() const;

private:
    int m_interval;
    int m_passed = 0; ///< Starts of others since the last one of the class.
    time_point m_demandAt {};
};

} // namespace bronzechute
