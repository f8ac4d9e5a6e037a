#include "balance/pass_pace.h"

#include <algorithm>
#include <functional>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds intervalLength {100};
// Demand for experts shifts every few seconds: the passes after the last shift are to be remembered.
constexpr std::chrono::milliseconds memory {6000};
// The median of fewer pauses may be one of a single stream that was held up.
constexpr std::size_t fewestGaps = 5;
// Part of the accepted pause that a pass may take; the rest is for its way to the caller.
constexpr double usableShare = 0.98;
// Passes in which a map is changed are longer by the change itself, however few requests run.
constexpr double ignoredShare = 0.1;
// With fewer requests the engines would answer much less in all, so that late answers are the lesser evil.
constexpr double leastShare = 0.4;

} // namespace

void pass_pace::record(boot_clock::duration gap, double running, time_point now)
{
    if (now - m_openFrom >= intervalLength) {
        closeInterval(now);
    }
    m_gapsMs.push_back(std::chrono::duration<double, std::milli>(gap).count());
    m_runningSum += running;
}

void pass_pace::closeInterval(time_point now)
{
    if (m_gapsMs.size() >= fewestGaps) {
        const auto middle = m_gapsMs.begin() + static_cast<std::ptrdiff_t>(m_gapsMs.size() / 2);
        std::ranges::nth_element(m_gapsMs, middle);
        m_intervals.push_back({m_openFrom, *middle, m_runningSum / static_cast<double>(m_gapsMs.size())});
    }
    m_gapsMs.clear();
    m_runningSum = 0;
    m_openFrom = now;
}

double pass_pace::limit(const pace_model &model, time_point now)
{
    while (!m_intervals.empty() && now - m_intervals.front().from > memory) {
        m_intervals.pop_front();
    }
    if (m_intervals.empty() || model.gapTarget.count() == 0 || model.stepMsPerRequest <= 0) {
        return model.slots;
    }
    std::vector<double> lengths; // Of passes, as multiples of what a step of their requests takes.
    lengths.reserve(m_intervals.size());
    for (const interval &each : m_intervals) {
        lengths.push_back(each.gapMs / (model.stepMs + model.stepMsPerRequest * each.running));
    }
    const auto ignored = static_cast<std::ptrdiff_t>(ignoredShare * static_cast<double>(lengths.size()));
    const auto last = lengths.begin() + ignored;
    std::ranges::nth_element(lengths, last, std::greater<>());
    const double longest = *last;
    const double accepted = usableShare * static_cast<double>(model.gapTarget.count());
    const double bound = (accepted / longest - model.stepMs) / model.stepMsPerRequest;
    return bound < leastShare * model.slots ? model.slots : std::min(bound, model.slots);
}

} // namespace bronzechute
