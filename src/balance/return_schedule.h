#pragma once

#include "balance/return_outlook.h"
#include "base/boot_clock.h"

#include <cstdint>
#include <map>

namespace bronzechute {

/**
 * Returns that this gateway has promised to callers of one service. Callers reach any gateway when they come back, so
 * that the promises of all gateways together tell how many arrive at each of them.
 */
class return_schedule
{
public:
    /** @param at when the caller is told to come back */
    void record(time_point at, time_point now);

    /** @returns the returns that are due in a time span from now on; @p until is excluded. */
    int due(time_point from, time_point until) const;

    /** @returns the returns that are due, by interval from now on. */
    promised_returns outlook(time_point now) const;

private:
    std::map<std::int64_t, int> m_promised; ///< By number of the interval; bounded by the longest delay.
};

} // namespace bronzechute
