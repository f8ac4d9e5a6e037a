#pragma once

namespace bronzechute {

/** What determines the concurrency limit of a rank group. */
enum class pass_limit_reason {
    none, ///< All slots are used.
    shifts, ///< The accepted gap is kept also while demand for experts shifts.
    long_passes, ///< The present passes are too long for another request to be in time.
};

/** Concurrency limits of a rank group, per engine, as a mean over its engines. */
struct pass_limits
{
    double inTime = 0; ///< For requests that can still be in time.
    double late = 0; ///< For requests that are late in any case.
    pass_limit_reason reason = pass_limit_reason::none;

    friend bool operator==(const pass_limits &, const pass_limits &) = default;
};

} // namespace bronzechute
