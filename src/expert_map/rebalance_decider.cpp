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

void rebalance_decider::began(time_point now, std::size_t loads)
{
    while (!m_history.empty() && now - m_history.front().first >= limitPeriod) {
        m_history.pop_front();
    }
    m_history.emplace_back(now, loads);
}

double rebalance_decider::minGainPerLoad(const rebalance_input &input, const load_matrix &load,
                                         double horizonSeconds) const
{
    // A load costs its transfer time at the slowed step time. It gains, for each unit by which it lowers one layer's
    // slowest load over the mean, that layer's part of the expert time.
    const double cost =
        static_cast<double>(m_settings.expertBytes) / m_settings.storeBytesPerSecond * m_settings.loadSlowdown;
    const double skew = std::max(1.0, loadSkew(input.current, load, input.speeds));
    const double gainPerUnit = input.expertShare / skew / static_cast<double>(load.layers) * horizonSeconds;
    return m_settings.payback * cost / std::max(gainPerUnit, 1e-9);
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
        decision.reason = rebalance_reason::move_limit;
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
    // Time in the queue of the weight store delays the gain but slows no rank.
    decision.costSeconds = std::max(0.0, plan.loadSeconds - input.queueSeconds) * m_settings.loadSlowdown
        + m_settings.pauseSeconds + m_settings.riskSeconds;
    if (plan.loads == 0 || decision.gainShare < m_settings.minGainShare) {
        decision.reason = rebalance_reason::balanced;
    } else if (decision.gainSeconds < m_settings.payback * decision.costSeconds) {
        decision.reason = rebalance_reason::does_not_pay;
    } else {
        decision.reason = rebalance_reason::rebalance;
    }
    return decision;
}

} // namespace bronzechute
