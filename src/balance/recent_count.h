#pragma once

#include "base/boot_clock.h"

#include <deque>

namespace bronzechute {

/** Counts the events of the last second. */
class recent_count
{
public:
    void record(time_point now);

    /** @returns the events of the last second, so that it is also their rate per second. */
    int count(time_point now) const;

private:
    std::deque<time_point> m_events; ///< In ascending order.
};

} // namespace bronzechute
