#pragma once

#include <chrono>
#include <cstdint>

namespace bronzechute {

/**
 * Monotonic clock that counts time in suspension (CLOCK_BOOTTIME).
 *
 * Deadlines read on it hold across steps of the wall clock and after a paused VM resumes.
 */
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the Clock concept

    static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/** @returns the reading in whole milliseconds, as frames between processes carry it. */
std::int64_t clockMilliseconds(time_point reading);

} // namespace bronzechute
