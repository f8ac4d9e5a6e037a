#pragma once

#include "base/boot_clock.h"

#include <optional>

namespace bronzechute {

/**
 * Shortest of the durations that were measured within the last one to two seconds. In contrast to a mean, it does not
 * follow a slowdown that is shorter than that.
 */
class recent_minimum
{
public:
    void record(boot_clock::duration duration, time_point now);

    /** @returns the minimum; nothing before a whole second was measured, and without recent measurements. */
    std::optional<boot_clock::duration> value(time_point now) const;

private:
    static constexpr std::chrono::milliseconds windowLength {1000};

    time_point m_start {}; ///< Start of the current window; zero before the first measurement.
    std::optional<boot_clock::duration> m_current; ///< Minimum of the current window.
    std::optional<boot_clock::duration> m_previous; ///< Minimum of the window before.
};

} // namespace bronzechute
