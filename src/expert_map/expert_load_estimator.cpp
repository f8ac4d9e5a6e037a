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

/** @returns the squared difference relative to the squared load, so that hot experts count most. */
double relativeDifference(const load_matrix &left, const load_matrix &right)
{
    double difference = 0;
    double square = 0;
    for (std::size_t index = 0; index < left.tokens.size(); ++index) {
        const double apart = left.tokens[index] - right.tokens[index];
        difference += apart * apart;
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
    if (!m_fast || m_fast->tokens.size() != load.tokens.size()) {
        m_estimate = load;
        m_fast = load;
        m_slow = load;
        m_recent.assign(1, {measuredAt, load});
        m_variance = 1;
        m_first = measuredAt;
        m_last = measuredAt;
        return;
    }
    if (measuredAt <= m_last) {
        return;
    }
    const std::chrono::duration<double> elapsed = measuredAt - m_last;
    const std::chrono::duration<double> since = measuredAt - m_first;
    m_last = measuredAt;
    // While the history is shorter than the smoothing time, the plain mean of all reports is the better estimate.
    const auto weight = [&](std::chrono::duration<double> time) {
        return std::max(1 - std::exp(-elapsed / time), std::min(1.0, elapsed / (since + elapsed)));
    };
    smooth(*m_estimate, load, kalmanWeight(measuredAt, load));
    smooth(*m_fast, load, weight(m_settings.fastTime));
    smooth(*m_slow, load, weight(m_settings.slowTime));
}

double expert_load_estimator::kalmanWeight(time_point measuredAt, const load_matrix &load)
{
    using seconds = std::chrono::duration<double>;
    const auto follow = [&](double &average, double value) {
        average += (average == 0 ? 1.0 : m_settings.varianceWeight) * (value - average);
    };
    const double elapsed = seconds(measuredAt - m_recent.back().first).count();
    follow(m_shortDifference, relativeDifference(load, m_recent.back().second));
    follow(m_shortSeconds, elapsed);
    follow(m_longDifference, relativeDifference(load, m_recent.front().second));
    follow(m_longSeconds, seconds(measuredAt - m_recent.front().first).count());
    m_recent.emplace_back(measuredAt, load);
    if (m_recent.size() > m_settings.history) {
        m_recent.pop_front();
    }
    // A difference holds the noise of both reports and the movement of demand in the time between them.
    constexpr double minVariance = 1e-9;
    const double span = m_longSeconds - m_shortSeconds;
    const double movement =
        span > 0 ? std::max(minVariance, (m_longDifference - m_shortDifference) / span) : minVariance;
    const double noise = std::max(minVariance, (m_shortDifference - movement * m_shortSeconds) / 2);
    m_variance += movement * elapsed;
    const double weight = m_variance / (m_variance + noise);
    m_variance *= 1 - weight;
    return weight;
}

std::chrono::nanoseconds expert_load_estimator::age(time_point now) const
{
    return m_fast ? std::max(std::chrono::nanoseconds {0}, std::chrono::nanoseconds {now - m_last})
                  : std::chrono::nanoseconds::max();
}

std::chrono::duration<double> expert_load_estimator::driftTime() const
{
    if (!m_fast) {
        return m_settings.minDriftTime;
    }
    double moved = 0;
    double total = 0;
    for (std::size_t index = 0; index < m_fast->tokens.size(); ++index) {
        moved += std::abs(m_fast->tokens[index] - m_slow->tokens[index]) / 2;
        total += m_slow->tokens[index];
    }
    if (moved <= 0 || total <= 0) {
        return m_settings.maxDriftTime;
    }
    const auto lag = m_settings.slowTime - m_settings.fastTime;
    return std::clamp(lag * (m_settings.driftDistance * total / moved), m_settings.minDriftTime,
                      m_settings.maxDriftTime);
}

} // namespace bronzechute
