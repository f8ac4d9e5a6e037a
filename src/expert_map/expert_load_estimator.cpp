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

} // namespace

expert_load_estimator::expert_load_estimator(const load_estimator_settings &settings) : m_settings(settings)
{
}

void expert_load_estimator::report(time_point measuredAt, const load_matrix &load)
{
    if (!m_fast || m_fast->tokens.size() != load.tokens.size()) {
        m_fast = load;
        m_slow = load;
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
    smooth(*m_fast, load, weight(m_settings.fastTime));
    smooth(*m_slow, load, weight(m_settings.slowTime));
}

std::chrono::nanoseconds expert_load_estimator::age(time_point now) const
{
    return m_fast ? std::max(std::chrono::nanoseconds{0}, std::chrono::nanoseconds{now - m_last})
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
