#pragma once

namespace bronzechute {

/** What determines the concurrency limit of a rank group. */
enum class pass_limit_reason {
    none, ///< All slots are used.
    shifts, ///< The accepted gap is kept also while demand for experts shifts.
    long_passes, ///< The present passes are too long for another request.
};

/** Concurrency limit of a rank group, per engine, as a mean over its engines. */
struct pass_limit
{
    double requests = 0; ///< With which most streams are in time; all slots if there is no reason to run fewer.
    double inTimeShare = 1; ///< Expected share of streams in time with so many requests.
    pass_limit_reason reason = pass_limit_reason::none;

    /** @returns false if most streams are late with any useful number of requests. */
    bool canBeInTime() const
    {
        constexpr double most = 0.5;
        return reason != pass_limit_reason::none || inTimeShare >= most;
    }

    friend bool operator==(const pass_limit &, const pass_limit &) = default;
};

} // namespace bronzechute
