#include "balance/pass_latency_limiter.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Shorter than a pass under load, so that each pass is a sample of its own.
constexpr std::chrono::milliseconds shortestPass {50};
// The events of one pass arrive within this time; a sample without a further one is complete.
constexpr std::chrono::milliseconds eventSpread {15};
// Demand for experts shifts every few seconds. The window must include the passes after the last shifts.
constexpr std::chrono::milliseconds historyWindow {9000};
// Without passes for so long, nothing is known about the next ones.
constexpr std::chrono::milliseconds measurementTimeout {6000};
// An interval without events, as when nothing runs, ends the present state.
constexpr std::chrono::milliseconds presentTimeout {500};
// With fewer gaps, the median may come from a single stalled stream.
constexpr std::size_t minGapsPerPass = 3;
// Share of the accepted gap that a pass may take; the rest covers delivery to the caller.
constexpr double usableGapShare = 0.98;
// Passes of the same load vary by a few per cent, and so does the time until their events reach the caller. Without a
// range, gateways that measure slightly different passes would plan very different limits, and the highest one counts.
constexpr double surelyShortShare = 0.96;
constexpr double surelyLongShare = 1.02;
// Candidate limits, as a share of the slots.
constexpr int candidates = 40;
// Below this share of the slots, streams in time would be so few that all slots serve callers better.
constexpr double minConcurrencyShare = 0.35;
// With fewer streams in time, long passes are the usual state, and fewer requests would not end it.
constexpr double minInTimeShare = 0.5;

struct outcome
{
    double inTimeShare = 0; ///< Of the requests that would have started during the window.
    /** Responses in time, weighted by their share: those below the limit are the urgent ones, which need certainty. */
    double worthPerSecond = 0;
};

/** @returns the probability that a pass of this length makes its streams late. */
double tooLongShare(double passMs, std::chrono::milliseconds gapTarget)
{
    const double share = passMs / static_cast<double>(gapTarget.count());
    return std::clamp((share - surelyShortShare) / (surelyLongShare - surelyShortShare), 0.0, 1.0);
}

/** Plays a concurrency over the measured passes, one after the other as if they repeated. */
outcome play(const std::vector<double> &relativeLengths, const pass_latency_model &model, double running)
{
    const double stepMs = model.stepMs + model.stepMsPerRequest * running;
    // Lengths of streams vary widely: each of their passes is the last one with the same probability.
    const double ends = std::min(1.0, 1.0 / model.passesPerRequest);
    const std::size_t count = relativeLengths.size();
    double inTimeFromNext = 1; // Probability that a stream that starts with the next pass is in time.
    double totalMs = 0;
    double inTime = 0;
    for (std::size_t step = 2 * count; step-- > 0;) { // The first round finds the probability for the last pass.
        const double passMs = relativeLengths[step % count] * stepMs;
        inTimeFromNext = (1 - tooLongShare(passMs, model.gapTarget)) * (ends + (1 - ends) * inTimeFromNext);
        if (step < count) {
            inTime += inTimeFromNext;
            totalMs += passMs;
        }
    }
    const auto passes = static_cast<double>(count);
    const double share = inTime / passes;
    return {share, running * passes / totalMs * share * share};
}

} // namespace

void pass_latency_limiter::record(boot_clock::duration gap, double running, time_point now)
{
    if (now - m_passStart >= shortestPass) {
        closePass(now);
    }
    m_lastRecord = now;
    m_gapsMs.push_back(std::chrono::duration<double, std::milli>(gap).count());
    m_runningSum += running;
}

void pass_latency_limiter::closePass(time_point now)
{
    if (m_gapsMs.size() >= minGapsPerPass) {
        const auto middle = m_gapsMs.begin() + static_cast<std::ptrdiff_t>(m_gapsMs.size() / 2);
        std::ranges::nth_element(m_gapsMs, middle);
        m_passes.push_back({m_passStart, *middle, m_runningSum / static_cast<double>(m_gapsMs.size())});
        m_changed = true;
    }
    m_gapsMs.clear();
    m_runningSum = 0;
    m_passStart = now;
}

std::vector<double> pass_latency_limiter::relativeLengths(const pass_latency_model &model) const
{
    std::vector<double> lengths;
    lengths.reserve(m_passes.size());
    for (const measured_pass &each : m_passes) {
        lengths.push_back(each.gapMs / (model.stepMs + model.stepMsPerRequest * each.running));
    }
    return lengths;
}

const pass_limit &pass_latency_limiter::limit(const pass_latency_model &model, time_point now)
{
    if (!m_gapsMs.empty() && now - m_lastRecord >= eventSpread && now - m_passStart >= eventSpread) {
        closePass(now);
    }
    while (!m_passes.empty() && now - m_passes.front().start > historyWindow) {
        m_passes.pop_front();
        m_changed = true;
    }
    if (m_changed || now - m_computedAt > presentTimeout || !(model == m_model)) {
        m_limit = computeLimit(model, now);
        m_model = model;
        m_computedAt = now;
        m_changed = false;
    }
    return m_limit;
}

pass_limit pass_latency_limiter::computeLimit(const pass_latency_model &model, time_point now) const
{
    const bool recent = !m_passes.empty() && now - m_passes.back().start <= measurementTimeout;
    if (!recent || model.gapTarget.count() == 0 || model.stepMsPerRequest <= 0) {
        return {model.slots, 1, pass_limit_reason::none};
    }
    const std::vector<double> lengths = relativeLengths(model);
    pass_limit result;
    double bestWorth = 0;
    double shareOfAllSlots = 0;
    for (int candidate = 1; candidate <= candidates; ++candidate) {
        const double running = model.slots * candidate / candidates;
        const outcome next = play(lengths, model, running);
        shareOfAllSlots = next.inTimeShare;
        if (running >= minConcurrencyShare * model.slots && next.worthPerSecond >= bestWorth) {
            bestWorth = next.worthPerSecond;
            result.requests = running;
            result.inTimeShare = next.inTimeShare;
        }
    }
    if (result.inTimeShare < minInTimeShare) {
        return {model.slots, shareOfAllSlots, pass_limit_reason::none};
    }
    result.reason = result.requests < model.slots ? pass_limit_reason::shifts : pass_limit_reason::none;
    const double present = presentLimit(model, lengths, now);
    if (present < result.requests) {
        result.requests = present;
        result.reason = pass_limit_reason::long_passes;
    }
    return result;
}

double pass_latency_limiter::presentLimit(const pass_latency_model &model, const std::vector<double> &lengths,
                                          time_point now) const
{
    if (now - m_passes.back().start > presentTimeout) {
        return model.slots;
    }
    const double acceptedMs = usableGapShare * static_cast<double>(model.gapTarget.count());
    // A single long pass, as during a change of the expert map, is over when it is seen.
    const double lasting = std::min(lengths.back(), lengths[lengths.size() - std::min<std::size_t>(2, lengths.size())]);
    return std::max(0.0, (acceptedMs / lasting - model.stepMs) / model.stepMsPerRequest);
}

} // namespace bronzechute
