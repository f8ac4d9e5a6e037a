#pragma once

#include "base/boot_clock.h"
#include "expert_map/load_matrix.h"

#include <chrono>
#include <optional>

namespace bronzechute {

struct load_estimator_settings
{
    std::chrono::duration<double> fastTime{15}; ///< Smoothing time of the estimate.
    std::chrono::duration<double> slowTime{90}; ///< Smoothing time of the profile that drift is measured against.
    double driftDistance = 0.25; ///< Demand counts as drifted when this share of the tokens goes to other experts.
    std::chrono::duration<double> minDriftTime{20};
    std::chrono::duration<double> maxDriftTime{1800};

    friend bool operator==(const load_estimator_settings &, const load_estimator_settings &) = default;
};

/**
 * Smooths the ranks' load reports, which come late and with gaps: a report weighs by the time since the one before, so
 * a gap does not slow the estimate down, and a report older than the newest one is ignored.
 */
class expert_load_estimator
{
public:
    explicit expert_load_estimator(const load_estimator_settings &settings);

    /** @param measuredAt when the engine measured the load, not when the report arrived */
    void report(time_point measuredAt, const load_matrix &load);

    /** @returns the estimate, or nothing before the first report. */
    const std::optional<load_matrix> &load() const
    {
        return m_fast;
    }

    /** @returns the age of the newest measurement; the maximum before the first report. */
    std::chrono::nanoseconds age(time_point now) const;

    /** @returns the time after which demand has probably drifted again, from how far it moved lately. */
    std::chrono::duration<double> driftTime() const;

private:
    load_estimator_settings m_settings;
    std::optional<load_matrix> m_fast;
    std::optional<load_matrix> m_slow;
    time_point m_first;
    time_point m_last;
};

} // namespace bronzechute
