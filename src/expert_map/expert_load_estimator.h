#pragma once

#include "base/boot_clock.h"
#include "expert_map/load_matrix.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace bronzechute {

struct load_estimator_settings
{
    std::size_t history = 8; ///< Reports over which movement of demand is told from noise.
    double varianceWeight = 0.05; ///< Weight of a report in the estimates of movement and noise.
    std::chrono::duration<double> fastTime {5}; ///< Smoothing time of the profile whose drift is measured.
    std::chrono::duration<double> slowTime {60}; ///< Smoothing time of the profile that drift is measured against.
    double driftDistance = 0.25; ///< Demand counts as drifted when this share of the tokens goes to other experts.
    std::chrono::duration<double> minDriftTime {20};
    std::chrono::duration<double> maxDriftTime {1800};

    friend bool operator==(const load_estimator_settings &, const load_estimator_settings &) = default;
};

/**
 * Smooths the ranks' load reports, which come late and with gaps, with a scalar Kalman filter: the weight of a report
 * follows from how much demand moves in a second and how noisy reports are, both measured from the differences between
 * reports, and grows with the time since the report before. A report older than the newest one is ignored.
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
        return m_estimate;
    }

    /** @returns the age of the newest measurement; the maximum before the first report. */
    std::chrono::nanoseconds age(time_point now) const;

    /** @returns the time after which demand has probably drifted again, from how far it moved lately. */
    std::chrono::duration<double> driftTime() const;

private:
    double kalmanWeight(time_point measuredAt, const load_matrix &load);

    load_estimator_settings m_settings;
    std::optional<load_matrix> m_estimate;
    std::deque<std::pair<time_point, load_matrix>> m_recent;
    double m_shortDifference = 0; ///< Mean relative squared difference to the report before.
    double m_shortSeconds = 0;
    double m_longDifference = 0; ///< The same over the whole history.
    double m_longSeconds = 0;
    double m_variance = 1; ///< Of the estimate, relative to the square of the load.
    std::optional<load_matrix> m_fast;
    std::optional<load_matrix> m_slow;
    time_point m_first;
    time_point m_last;
};

} // namespace bronzechute
