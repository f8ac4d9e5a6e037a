#include "expert_map/rebalance_decider.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

namespace {

constexpr std::chrono::hours limitPeriod {1};

} // namespace

rebalance_decider::rebalance_decider(const rebalance_settings &settings) : m_settings(settings)
{
}

std::size_t rebalance_decider::loadsLeft(time_point now) const
{
    std::size_t used = 0;
    for (const auto &[begin, loads] : m_history) {
        used += now - begin < limitPeriod ? loads : 0;
    }
    return m_settings.maxLoadsPerHour - std::min(used, m_settings.maxLoadsPerHour);
}

void rebalance_decider::recordStart(time_point now, std::size_t loads)
{
    while (!m_history.empty() && now - m_history.front().first >= limitPeriod) {
        m_history.pop_front();
    }
    m_history.emplace_back(now, loads);
}

double rebalance_decider::minGainPerLoad(const rebalance_input &input, const load_matrix &load,
                                         double horizonSeconds) const
{
    // Cost of a load: its transfer time multiplied by the slowdown. Gain for each unit by which it lowers the relative
    // load of the most loaded rank of a layer: that layer's share of the time spent on experts.
    const double cost =
        static_cast<double>(m_settings.expertBytes) / m_settings.storeBytesPerSecond * m_settings.loadSlowdown;
    const double skew = std::max(1.0, loadSkew(input.current, load, input.speeds));
    const double gainPerUnit = input.expertShare / skew / static_cast<double>(load.layers) * horizonSeconds;
    return m_settings.minGainCostRatio * cost / std::max(gainPerUnit, 1e-9);
}

rebalance_decision rebalance_decider::decide(time_point now, const rebalance_input &input) const
{
    rebalance_decision decision;
    const auto &load = input.estimator.load();
    if (m_paused) {
        decision.reason = rebalance_reason::paused_by_operator;
        return decision;
    }
    if (!load || input.estimator.age(now) > m_settings.maxReportAge) {
        decision.reason = rebalance_reason::no_reports;
        return decision;
    }
    if (!m_history.empty() && now - m_history.back().first < m_settings.minInterval) {
        decision.reason = rebalance_reason::too_soon;
        return decision;
    }
    const std::size_t left = loadsLeft(now);
    if (left == 0) {
        decision.reason = rebalance_reason::hourly_load_limit;
        return decision;
    }
    const double drift = input.estimator.driftTime().count();
    const double batch =
        m_settings.maxLoadSeconds * m_settings.storeBytesPerSecond / static_cast<double>(m_settings.expertBytes);
    const double allowed = std::min(static_cast<double>(left), std::max(2.0, batch));
    const planner_limits limits {m_settings.slots,           static_cast<std::size_t>(allowed),
                                 m_settings.maxLoadsPerRank, minGainPerLoad(input, *load, drift),
                                 m_settings.expertBytes,     m_settings.storeBytesPerSecond,
                                 input.queueSeconds};
    decision.plan = planPlacement(input.current, *load, input.speeds, limits);
    const auto &plan = decision.plan;
    decision.gainShare = plan.loadBefore > 0 ? input.expertShare * (1 - plan.loadAfter / plan.loadBefore) : 0.0;
    decision.horizonSeconds = std::max(0.0, drift - plan.loadSeconds);
    decision.gainSeconds = decision.gainShare * decision.horizonSeconds;
    // Time in the weight store's queue delays the gain but does not slow down any rank.
    decision.costSeconds = std::max(0.0, plan.loadSeconds - input.queueSeconds) * m_settings.loadSlowdown
        + m_settings.pauseSeconds + m_settings.failureRiskSeconds;
    if (plan.loads == 0 || decision.gainShare < m_settings.minGainShare) {
        decision.reason = rebalance_reason::balanced;
    } else if (decision.gainSeconds < m_settings.minGainCostRatio * decision.costSeconds) {
        decision.reason = rebalance_reason::low_gain_cost_ratio;
    } else {
        decision.reason = rebalance_reason::rebalance;
    }
    return decision;
}

} // namespace bronzechute
