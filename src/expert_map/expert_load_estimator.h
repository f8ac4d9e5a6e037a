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
    std::size_t history = 8; ///< Number of reports used to separate changes of demand from noise.
    double varianceWeight = 0.05; ///< Smoothing weight of a report in the estimates of both variances.
    std::chrono::duration<double> fastTime {5}; ///< Time constant of the average whose drift is measured.
    std::chrono::duration<double> slowTime {60}; ///< Time constant of the reference average.
    double driftDistance = 0.25; ///< Demand has drifted when this share of the tokens goes to other experts.
    std::chrono::duration<double> minDriftTime {20};
    std::chrono::duration<double> maxDriftTime {1800};

    friend bool operator==(const load_estimator_settings &, const load_estimator_settings &) = default;
};

/**
 * Estimates the load of each expert from the ranks' load reports, which may be late or missing, with a scalar Kalman
 * filter. Process variance (change of demand per second) and measurement variance (noise of a report) are
 * estimated from the differences between reports; the weight of a report grows with the time since the previous one.
 * Reports older than the newest one are ignored.
 */
class expert_load_estimator
{
public:
    explicit expert_load_estimator(const load_estimator_settings &settings);

    /** @param measuredAt time at which the engine measured the load, not the arrival time of the report */
    void report(time_point measuredAt, const load_matrix &load);

    /** @returns the estimate, or nothing before the first report. */
    const std::optional<load_matrix> &load() const
    {
        return m_estimate;
    }

    /** @returns the age of the newest measurement; the maximum before the first report. */
    std::chrono::nanoseconds age(time_point now) const;

    /** @returns the expected time until demand has drifted again, extrapolated from its recent drift. */
    std::chrono::duration<double> driftTime() const;

private:
    /** Updates the variances. @returns the Kalman gain for the report. */
    double kalmanGain(time_point measuredAt, const load_matrix &load);

    load_estimator_settings m_settings;
    std::optional<load_matrix> m_estimate;
    std::deque<std::pair<time_point, load_matrix>> m_history; ///< The last load_estimator_settings::history reports.
    double m_successiveDifference = 0; ///< Mean relative squared difference between successive reports.
    double m_successiveSeconds = 0; ///< Mean time between successive reports.
    double m_spanDifference = 0; ///< The same between the newest and the oldest report of the history.
    double m_spanSeconds = 0; ///< Mean time between the newest and oldest report of the history.
    double m_variance = 1; ///< Variance of the estimate, relative to the squared load.
    std::optional<load_matrix> m_fastAverage;
    std::optional<load_matrix> m_slowAverage;
    time_point m_firstMeasuredAt;
    time_point m_lastMeasuredAt;
};

} // namespace bronzechute
