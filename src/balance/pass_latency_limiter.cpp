#include "balance/pass_latency_limiter.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Shorter than a pass under load, so that each pass is a sample of its own.
constexpr std::chrono::milliseconds samplingInterval {50};
// The events of one pass arrive within this time; a sample without a further one is complete.
constexpr std::chrono::milliseconds eventSpread {15};
// Demand for experts shifts every few seconds. The window must include the passes after the last shift.
constexpr std::chrono::milliseconds historyWindow {9000};
// Without passes for so long, nothing is known about the next ones.
constexpr std::chrono::milliseconds measurementTimeout {6000};
// An interval without events, as when nothing runs, ends the present state.
constexpr std::chrono::milliseconds presentTimeout {500};
// With fewer gaps, the median may come from a single stalled stream.
constexpr std::size_t minGapsPerInterval = 3;
// Share of the accepted gap that a pass may take; the rest covers delivery to the caller.
constexpr double usableGapShare = 0.98;
// Passes of the same load vary by a few per cent, and so does the time until their events reach the caller. Without a
// range, gateways that measure slightly different passes would plan very different limits, and the highest one counts.
constexpr double surelyShortShare = 0.96;
constexpr double surelyLongShare = 1.02;
// Candidate limits, as a share of the slots.
constexpr int candidates = 40;
// Assumed worth of a late response, as a share of one in time; the gateway isn't told. Requests beyond the limit are
// refused, and their callers get a late response or none.
constexpr double lateWorth = 0.3;
// With fewer requests in time, long passes are the usual state, and waiting for shorter ones only adds to the delay.
constexpr double minInTimeShareToWait = 0.5;

struct outcome
{
    double inTimeShare = 0; ///< Of the requests that would have started during the window.
    double worthPerSecond = 0; ///< In responses in time, up to a constant factor.
};

/** @returns the probability that a pass measured or modelled with this length makes its streams late. */
double tooLongShare(double passMs, std::chrono::milliseconds gapTarget)
{
    const double share = passMs / static_cast<double>(gapTarget.count());
    return std::clamp((share - surelyShortShare) / (surelyLongShare - surelyShortShare), 0.0, 1.0);
}

/** Plays a concurrency over the measured passes, one sample after the other as if they repeated. */
outcome play(const std::vector<double> &relativeLengths, const pass_latency_model &model, double running)
{
    const double stepMs = model.stepMs + model.stepMsPerRequest * running;
    const std::size_t count = relativeLengths.size();
    const double intervalMs = static_cast<double>(samplingInterval.count());
    double inTimeFromNext = 1; // Probability that a stream that starts with the next sample is in time.
    double passes = 0;
    double totalMs = 0;
    double inTime = 0;
    for (std::size_t step = 2 * count; step-- > 0;) { // The first round finds the probability for the last sample.
        const double passMs = relativeLengths[step % count] * stepMs;
        const double passesOfSample = std::max(1.0, intervalMs / passMs);
        // Lengths of streams vary widely: each of its passes is the last one with the same probability.
        const double ends = std::min(1.0, passesOfSample / model.passesPerRequest);
        inTimeFromNext = (1 - tooLongShare(passMs, model.gapTarget)) * (ends + (1 - ends) * inTimeFromNext);
        if (step < count) {
            inTime += inTimeFromNext;
            passes += passesOfSample;
            totalMs += passesOfSample * passMs;
        }
    }
    const double share = inTime / static_cast<double>(count);
    return {share, running * passes / totalMs * (share + lateWorth * (1 - share))};
}

} // namespace

void pass_latency_limiter::record(boot_clock::duration gap, double running, time_point now)
{
    if (now - m_intervalStart >= samplingInterval) {
        closeInterval(now);
    }
    m_lastRecord = now;
    m_gapsMs.push_back(std::chrono::duration<double, std::milli>(gap).count());
    m_runningSum += running;
}

void pass_latency_limiter::closeInterval(time_point now)
{
    if (m_gapsMs.size() >= minGapsPerInterval) {
        const auto middle = m_gapsMs.begin() + static_cast<std::ptrdiff_t>(m_gapsMs.size() / 2);
        std::ranges::nth_element(m_gapsMs, middle);
        m_intervals.push_back({m_intervalStart, *middle, m_runningSum / static_cast<double>(m_gapsMs.size())});
        m_changed = true;
    }
    m_gapsMs.clear();
    m_runningSum = 0;
    m_intervalStart = now;
}

std::vector<double> pass_latency_limiter::relativeLengths(const pass_latency_model &model) const
{
    std::vector<double> lengths;
    lengths.reserve(m_intervals.size());
    for (const interval &each : m_intervals) {
        lengths.push_back(each.gapMs / (model.stepMs + model.stepMsPerRequest * each.running));
    }
    return lengths;
}

pass_limits pass_latency_limiter::limits(const pass_latency_model &model, time_point now)
{
    if (!m_gapsMs.empty() && now - m_lastRecord >= eventSpread && now - m_intervalStart >= eventSpread) {
        closeInterval(now);
    }
    while (!m_intervals.empty() && now - m_intervals.front().start > historyWindow) {
        m_intervals.pop_front();
        m_changed = true;
    }
    if (m_changed || now - m_computedAt > presentTimeout || !(model == m_model)) {
        m_limits = computeLimits(model, now);
        m_model = model;
        m_computedAt = now;
        m_changed = false;
    }
    return m_limits;
}

pass_limits pass_latency_limiter::computeLimits(const pass_latency_model &model, time_point now) const
{
    const bool recent = !m_intervals.empty() && now - m_intervals.back().start <= measurementTimeout;
    if (!recent || model.gapTarget.count() == 0 || model.stepMsPerRequest <= 0) {
        return {model.slots, model.slots, pass_limit_reason::none};
    }
    const std::vector<double> lengths = relativeLengths(model);
    pass_limits result;
    outcome best;
    for (int candidate = 1; candidate <= candidates; ++candidate) {
        const double running = model.slots * candidate / candidates;
        const outcome next = play(lengths, model, running);
        if (next.worthPerSecond >= best.worthPerSecond) {
            best = next;
            result.late = running;
        }
    }
    result.inTime = result.late;
    result.reason = result.late < model.slots ? pass_limit_reason::shifts : pass_limit_reason::none;
    if (best.inTimeShare >= minInTimeShareToWait && now - m_intervals.back().start <= presentTimeout) {
        const double acceptedMs = usableGapShare * static_cast<double>(model.gapTarget.count());
        // A single long pass, as during a change of the expert map, is over when it is seen.
        const double lasting =
            std::min(lengths.back(), lengths[lengths.size() - std::min<std::size_t>(2, lengths.size())]);
        const double present = (acceptedMs / lasting - model.stepMs) / model.stepMsPerRequest;
        if (present < result.inTime) {
            result.inTime = std::max(0.0, present);
            result.reason = pass_limit_reason::long_passes;
        }
    }
    return result;
}

} // namespace bronzechute
