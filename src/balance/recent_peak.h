#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Highest of the counts that were recorded in the last two to four minutes. */
class recent_peak
{
public:
    void record(int count, time_point now);

    int value() const;

private:
    int m_current = 0;
    int m_previous = 0; ///< Of the window before.
    time_point m_start {}; ///< Of the current window.
};

} // namespace bronzechute
