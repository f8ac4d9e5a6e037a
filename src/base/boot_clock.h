#pragma once

#include <chrono>
#include <cstdint>

namespace bronzechute {

/**
 * Monotonic clock that includes the time the system was suspended (CLOCK_BOOTTIME).
 *
 * Deadlines on this clock are unaffected by wall clock adjustments and stay correct after a paused VM resumes.
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

/** @returns the reading in whole milliseconds, the representation used in frames between processes. */
std::int64_t clockMilliseconds(time_point reading);

} // namespace bronzechute
