#include "expert_map/expert_load_estimator.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

void smooth(load_matrix &average, const load_matrix &load, double weight)
{
    for (std::size_t index = 0; index < average.tokens.size(); ++index) {
        average.tokens[index] += weight * (load.tokens[index] - average.tokens[index]);
    }
}

/** @returns the squared difference divided by the squared load of `left`, which weights hot experts most. */
double relativeDifference(const load_matrix &left, const load_matrix &right)
{
    double difference = 0;
    double square = 0;
    for (std::size_t index = 0; index < left.tokens.size(); ++index) {
        const double delta = left.tokens[index] - right.tokens[index];
        difference += delta * delta;
        square += left.tokens[index] * left.tokens[index];
    }
    return square > 0 ? difference / square : 0.0;
}

} // namespace

expert_load_estimator::expert_load_estimator(const load_estimator_settings &settings) : m_settings(settings)
{
}

void expert_load_estimator::report(time_point measuredAt, const load_matrix &load)
{
    if (!m_fastAverage || m_fastAverage->tokens.size() != load.tokens.size()) {
        m_estimate = load;
        m_fastAverage = load;
        m_slowAverage = load;
        m_history.assign(1, {measuredAt, load});
        m_variance = 1;
        m_firstMeasuredAt = measuredAt;
        m_lastMeasuredAt = measuredAt;
        return;
    }
    if (measuredAt <= m_lastMeasuredAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = measuredAt - m_lastMeasuredAt;
    const std::chrono::duration<double> since = measuredAt - m_firstMeasuredAt;
    m_lastMeasuredAt = measuredAt;
    // While the history is shorter than the time constant, the arithmetic mean of all reports is the better estimate.
    const auto weight = [&](std::chrono::duration<double> time) {
        return std::max(1 - std::exp(-elapsed / time), std::min(1.0, elapsed / (since + elapsed)));
    };
    smooth(*m_estimate, load, kalmanGain(measuredAt, load));
    smooth(*m_fastAverage, load, weight(m_settings.fastTime));
    smooth(*m_slowAverage, load, weight(m_settings.slowTime));
}

double expert_load_estimator::kalmanGain(time_point measuredAt, const load_matrix &load)
{
    using seconds = std::chrono::duration<double>;
    const auto updateAverage = [&](double &average, double value) {
        average += (average == 0 ? 1.0 : m_settings.varianceWeight) * (value - average);
    };
    const double elapsed = seconds(measuredAt - m_history.back().first).count();
    updateAverage(m_successiveDifference, relativeDifference(load, m_history.back().second));
    updateAverage(m_successiveSeconds, elapsed);
    updateAverage(m_spanDifference, relativeDifference(load, m_history.front().second));
    updateAverage(m_spanSeconds, seconds(measuredAt - m_history.front().first).count());
    m_history.emplace_back(measuredAt, load);
    if (m_history.size() > m_settings.history) {
        m_history.pop_front();
    }
    // The squared difference of two reports is the sum of both measurement variances and the process variance over the
    // time between them. Successive reports and the whole history give two equations for the two unknowns.
    constexpr double minVariance = 1e-9;
    const double span = m_spanSeconds - m_successiveSeconds;
    const double processVariance =
        span > 0 ? std::max(minVariance, (m_spanDifference - m_successiveDifference) / span) : minVariance;
    const double measurementVariance =
        std::max(minVariance, (m_successiveDifference - processVariance * m_successiveSeconds) / 2);
    m_variance += processVariance * elapsed;
    const double weight = m_variance / (m_variance + measurementVariance);
    m_variance *= 1 - weight;
    return weight;
}

std::chrono::nanoseconds expert_load_estimator::age(time_point now) const
{
    return m_fastAverage ? std::max(std::chrono::nanoseconds {0}, std::chrono::nanoseconds {now - m_lastMeasuredAt})
                         : std::chrono::nanoseconds::max();
}

std::chrono::duration<double> expert_load_estimator::driftTime() const
{
    if (!m_fastAverage) {
        return m_settings.minDriftTime;
    }
    double moved = 0;
    double total = 0;
    for (std::size_t index = 0; index < m_fastAverage->tokens.size(); ++index) {
        moved += std::abs(m_fastAverage->tokens[index] - m_slowAverage->tokens[index]) / 2;
        total += m_slowAverage->tokens[index];
    }
    if (moved <= 0 || total <= 0) {
        return m_settings.maxDriftTime;
    }
    const auto lag = m_settings.slowTime - m_settings.fastTime;
    return std::clamp(lag * (m_settings.driftDistance * total / moved), m_settings.minDriftTime,
                      m_settings.maxDriftTime);
}

} // namespace bronzechute
