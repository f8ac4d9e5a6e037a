#include "balance/pass_latency_limiter.h"

#include <algorithm>
#include <functional>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds samplingInterval {100};
// Demand for experts shifts every few seconds. The window must include the passes after the last shift.
constexpr std::chrono::milliseconds historyWindow {6000};
// With fewer gaps, the median may come from a single stalled stream.
constexpr std::size_t minGapsPerInterval = 5;
// Share of the accepted gap that a pass may take; the rest covers delivery to the caller.
constexpr double usableGapShare = 0.98;
// A pass during which the expert map is changed is longer by the change itself, at any concurrency, so the longest
// passes are ignored.
constexpr double ignoredLongestShare = 0.1;
// Below this share of the slots, the loss of throughput would cost more than the late responses.
constexpr double minConcurrencyShare = 0.4;

} // namespace

void pass_latency_limiter::record(boot_clock::duration gap, double running, time_point now)
{
    if (now - m_intervalStart >= samplingInterval) {
        closeInterval(now);
    }
    m_gapsMs.push_back(std::chrono::duration<double, std::milli>(gap).count());
    m_runningSum += running;
}

void pass_latency_limiter::closeInterval(time_point now)
{
    if (m_gapsMs.size() >= minGapsPerInterval) {
        const auto middle = m_gapsMs.begin() + static_cast<std::ptrdiff_t>(m_gapsMs.size() / 2);
        std::ranges::nth_element(m_gapsMs, middle);
        m_intervals.push_back({m_intervalStart, *middle, m_runningSum / static_cast<double>(m_gapsMs.size())});
    }
    m_gapsMs.clear();
    m_runningSum = 0;
    m_intervalStart = now;
}

double pass_latency_limiter::limit(const pass_latency_model &model, time_point now)
{
    while (!m_intervals.empty() && now - m_intervals.front().start > historyWindow) {
        m_intervals.pop_front();
    }
    if (m_intervals.empty() || model.gapTarget.count() == 0 || model.stepMsPerRequest <= 0) {
        return model.slots;
    }
    std::vector<double> relativeLengths; // Pass latencies as multiples of the modelled token step.
    relativeLengths.reserve(m_intervals.size());
    for (const interval &each : m_intervals) {
        relativeLengths.push_back(each.gapMs / (model.stepMs + model.stepMsPerRequest * each.running));
    }
    const auto ignored = static_cast<std::ptrdiff_t>(ignoredLongestShare * static_cast<double>(relativeLengths.size()));
    const auto last = relativeLengths.begin() + ignored;
    std::ranges::nth_element(relativeLengths, last, std::greater<>());
    const double longest = *last;
    const double accepted = usableGapShare * static_cast<double>(model.gapTarget.count());
    const double bound = (accepted / longest - model.stepMs) / model.stepMsPerRequest;
    return bound < minConcurrencyShare * model.slots ? model.slots : std::min(bound, model.slots);
}

} // namespace bronzechute
