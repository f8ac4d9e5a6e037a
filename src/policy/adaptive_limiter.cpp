#include "policy/adaptive_limiter.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {
namespace {

double seconds(boot_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** @returns seconds per token after the first, or for the whole call when the response has no such tokens. */
double measuredPace(const answer_sample &sample)
{
    if (sample.tokens > 1) {
        return seconds(sample.service - sample.firstToken) / (sample.tokens - 1);
    }
    return seconds(sample.service);
}

// Weight of one response in the exponential moving averages, which thus cover about the last 20 responses.
constexpr double responseSmoothing = 0.05;
constexpr double decreaseFactor = 0.9;
// The engine's mean is used from this many tokens on; fewer may all come from a cold engine.
constexpr double minMeanTokens = 200;
// During a cold start, a slow response raises the reference time by this factor. An engine that has become permanently
// slower is thus accepted as warm after a few responses instead of staying at the cap forever.
constexpr double referenceRelaxation = 1.1;
// An entry reconnects within 2 s, or within 2.5 s after a connection timed out. A remembered speed that arrives later
// than this after the first cold start is older than what the process has measured since.
constexpr std::chrono::seconds rememberedPaceGrace {10};
// Maximum age of the data in a load report: the engine's own lag plus the interval between two reports.
constexpr std::chrono::seconds maxReportAge {1};
// Number of steps that a request may wait at the engine without counting as queued: until the end of the step during
// which it arrives. Half a step more costs up to 1% of the goodput in overload (policy_bench).
constexpr double maxAdmissionSteps = 1;

} // namespace

adaptive_limiter::adaptive_limiter(const limiter_settings &settings)
    : m_settings(settings), m_warmLimit(std::clamp(settings.initial, 1, std::max(1, settings.maximum)))
{
}

int adaptive_limiter::limit(time_point) const
{
    const int warm = std::clamp(static_cast<int>(m_warmLimit), 1, std::max(1, m_settings.maximum));
    return m_cold ? std::min(m_cap, warm) : warm;
}

bool adaptive_limiter::cold() const
{
    return m_cold;
}

void adaptive_limiter::onStarted(time_point now)
{
    removeOldStarts(now);
    m_starts.push_back(now);
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
}

void adaptive_limiter::onFinished(time_point now, const answer_sample &sample)
{
    const bool limitInUse = m_inFlight * 2 >= limit(now);
    m_inFlight = std::max(0, m_inFlight - 1);
    if (sample.outcome == answer_outcome::cancelled) {
        return; // A cancellation by the caller says nothing about the engine.
    }
    const double pace = measuredPace(sample);
    if (m_cold) {
        onColdAnswer(now, sample, pace);
        return;
    }
    onWarmAnswer(now, sample, pace);
    if (!m_cold && limitInUse && sample.outcome == answer_outcome::answered && m_missShare < m_settings.missShare / 2) {
        // Until the first decrease, the limit doubles with as many responses as the limit, so that a queue that formed
        // during the cold start drains quickly. Afterwards it grows by one in that time.
        const double step = m_decreased ? 1.0 / m_warmLimit : 1.0;
        m_warmLimit = std::min(m_warmLimit + step, static_cast<double>(std::max(1, m_settings.maximum)));
    }
}

bool adaptive_limiter::meetsTargets(const answer_sample &sample, double pace, std::optional<double> reference) const
{
    if (sample.tokens > 1) {
        return sample.firstToken <= m_settings.firstTokenTarget
            && pace <= seconds(m_settings.tokenTarget) * m_settings.tokenTolerance;
    }
    return !reference || pace <= *reference * m_settings.serviceFactor;
}

void adaptive_limiter::onColdAnswer(time_point now, const answer_sample &sample, double pace)
{
    if (sample.outcome == answer_outcome::failed) {
        changeCap(now, std::max(1, m_cap / 2));
        return;
    }
    pace_record &record = recordOf(sample);
    if (!record.reference && sample.tokens <= 1) {
        // The time per token is too strict for a call, but without any reference a cold response would confirm the cap.
        record.reference = m_streamPace.reference;
    }
    const bool atWarmSpeed = meetsTargets(sample, pace, record.reference)
        && (!record.reference || pace <= *record.reference * m_settings.warmFactor);
    if (!atWarmSpeed) {
        if (record.reference) {
            record.reference = std::min(*record.reference * referenceRelaxation, pace);
        }
        return;
    }
    const bool startedAtThisCap = now - sample.service >= m_capChangedAt;
    if (!startedAtThisCap || m_peakInFlight * 2 < m_cap) {
        return;
    }
    if (++m_confirmations < m_cap * m_settings.confirmationShare) {
        return;
    }
    changeCap(now, m_cap * 2);
    if (m_cap >= static_cast<int>(m_warmLimit)) {
        m_cold = false;
        m_slowdowns = 0;
        // The other kind of response keeps its warm time, because its reference is not confirmed.
        record.warm = record.reference.value_or(pace);
        if (m_firstColdStart) {
            m_firstColdStart = false;
            m_firstWarmAt = now;
        }
    }
}

void adaptive_limiter::onWarmAnswer(time_point now, const answer_sample &sample, double pace)
{
    if (sample.outcome == answer_outcome::failed) {
        decrease(now);
        return;
    }
    std::optional<double> &warm = recordOf(sample).warm;
    if (warm && pace > *warm * m_settings.slowdownFactor) {
        if (++m_slowdowns >= (sample.tokens > 1 ? m_settings.slowdownAnswers : m_settings.slowdownCalls)) {
            markCold(now);
        }
        return;
    }
    m_slowdowns = 0;
    warm = warm ? *warm + responseSmoothing * (pace - *warm) : pace;
    m_missShare += responseSmoothing * ((meetsTargets(sample, pace, warm) ? 0.0 : 1.0) - m_missShare);
    if (m_missShare > m_settings.missShare) {
        decrease(now);
    }
}

void adaptive_limiter::changeCap(time_point now, int cap)
{
    m_cap = cap;
    m_confirmations = 0;
    m_capChangedAt = now;
    m_peakInFlight = m_inFlight;
}

void adaptive_limiter::decrease(time_point now)
{
    if (now - m_decreasedAt >= m_settings.decreaseInterval) {
        m_warmLimit = std::max(1.0, m_warmLimit * decreaseFactor);
        m_decreasedAt = now;
        m_decreased = true;
    }
}

void adaptive_limiter::onLoadReport(time_point now, const back_end_load &load)
{
    if (!load.reachable) {
        return;
    }
    if (!load.startId.empty() && load.startId != m_startId) {
        const bool known = !m_startId.empty();
        m_startId = load.startId;
        if (known) {
            markCold(now);
        }
    }
    // A restarted endpoint process knows no warm speed, but its engine may have kept running and report a mean time per
    // token. The mean is an upper bound, because it includes cold steps. A mean below the remembered time shows that
    // the engine was replaced by a faster one.
    if (m_cold && m_firstColdStart && !m_meanApplied && load.tokens >= minMeanTokens) {
        m_meanApplied = true;
        std::optional<double> &reference = m_streamPace.reference;
        reference = std::min(reference.value_or(load.meanTokenSeconds), load.meanTokenSeconds);
    }
    removeOldStarts(now);
    // The engine queues what its batch cannot hold. Requests should wait in the endpoint's queue instead, where the
    // order is fair and they can be cancelled. An engine that admits requests only between steps also reports those
    // that arrived during a step as waiting, which is not overload.
    if (!m_cold && load.waiting - maxStartsPerStep(load) > std::max(1.0, 0.1 * load.running)) {
        decrease(now);
    }
}

void adaptive_limiter::removeOldStarts(time_point now)
{
    while (!m_starts.empty() && now - m_starts.front() >= maxReportAge) {
        m_starts.pop_front();
    }
}

int adaptive_limiter::maxStartsPerStep(const back_end_load &load) const
{
    const double window = m_streamPace.warm.value_or(load.meanTokenSeconds) * maxAdmissionSteps;
    int most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_starts.size(); ++last) {
        while (seconds(m_starts[last] - m_starts[first]) > window) {
            ++first;
        }
        most = std::max(most, static_cast<int>(last - first + 1));
    }
    return most;
}

void adaptive_limiter::markCold(time_point now)
{
    m_cold = true;
    m_slowdowns = 0;
    m_missShare = 0;
    // Discards the raised references, so that an interrupted cold start does not make the next one accept slower
    // responses.
    for (pace_record *each : {&m_streamPace, &m_callPace}) {
        each->reference = each->warm;
    }
    m_meanApplied = false;
    changeCap(now, 1);
}

adaptive_limiter::pace_record &adaptive_limiter::recordOf(const answer_sample &sample)
{
    return sample.tokens > 1 ? m_streamPace : m_callPace;
}

bool adaptive_limiter::rememberPace(pace_record &record, double remembered) const
{
    const std::optional<double> known = m_cold ? record.reference : record.warm;
    const bool stricter = known ? remembered * m_settings.warmFactor < *known : m_cold;
    // When entries disagree, the lowest time is used: a time that is too low only prolongs the cold start until slow
    // responses have raised the reference.
    record.warm = std::min(record.warm.value_or(remembered), remembered);
    record.reference = std::min(record.reference.value_or(remembered), remembered);
    return stricter;
}

void adaptive_limiter::onRememberedPace(time_point now, const warm_pace &remembered)
{
    if (!m_firstColdStart && (!m_firstWarmAt || now - *m_firstWarmAt > rememberedPaceGrace)) {
        return;
    }
    bool stricter = false;
    if (remembered.tokenSeconds > 0) {
        stricter = rememberPace(m_streamPace, remembered.tokenSeconds);
    }
    if (remembered.callSeconds > 0) {
        stricter = rememberPace(m_callPace, remembered.callSeconds) || stricter;
    }
    if (stricter && !m_cold) {
        markCold(now);
    } else if (stricter && m_cap > 1) {
        changeCap(now, 1);
    }
}

warm_pace adaptive_limiter::warmPace() const
{
    return {m_streamPace.warm.value_or(0), m_callPace.warm.value_or(0)};
}

} // namespace bronzechute
