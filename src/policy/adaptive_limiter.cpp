#include "policy/adaptive_limiter.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {
namespace {

double seconds(boot_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** @returns seconds for each token after the first, or for the whole call when there are none. */
double paceOf(const answer_sample &sample)
{
    if (sample.tokens > 1) {
        return seconds(sample.service - sample.firstToken) / (sample.tokens - 1);
    }
    return seconds(sample.service);
}

constexpr double smoothing = 0.05; // Weight of one answer in the warm pace: about the last 20 answers count.
constexpr double decreaseFactor = 0.9;
constexpr double learnedTokens = 200; // Fewer tokens may all come from a cold engine.
// While cold, a slow answer raises the remembered pace by this factor, so that an engine that has become slower for
// good is accepted as warm after a few answers instead of staying at the cap for ever.
constexpr double paceRelaxation = 1.1;
// An entry reconnects within 2 s, or 2.5 s after a silent connection. A message that comes later than this after the
// first cold start is older than what the process has measured since.
constexpr std::chrono::seconds rememberedPaceGrace {10};
// Age of what a load report shows, at most: the engine's own lag and the interval between two reports.
constexpr std::chrono::seconds reportAge {1};
// A request waits at most for the end of the step that it arrives in. Half a step more costs up to 1% of the goodput in
// overload (policy_bench).
constexpr double admissionSteps = 1;

} // namespace

adaptive_limiter::adaptive_limiter(const limiter_settings &settings)
    : m_settings(settings), m_adaptive(std::clamp(settings.initial, 1, std::max(1, settings.maximum)))
{
}

int adaptive_limiter::limit(time_point) const
{
    const int warm = std::clamp(static_cast<int>(m_adaptive), 1, std::max(1, m_settings.maximum));
    return m_cold ? std::min(m_cap, warm) : warm;
}

bool adaptive_limiter::cold() const
{
    return m_cold;
}

void adaptive_limiter::onStarted(time_point now)
{
    forgetOldStarts(now);
    m_starts.push_back(now);
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
}

void adaptive_limiter::onFinished(time_point now, const answer_sample &sample)
{
    const bool limitInUse = m_inFlight * 2 >= limit(now);
    m_inFlight = std::max(0, m_inFlight - 1);
    if (sample.outcome == answer_outcome::cancelled) {
        return; // The caller's decision says nothing about the engine.
    }
    const double pace = paceOf(sample);
    if (m_cold) {
        onCold(now, sample, pace);
        return;
    }
    onWarm(now, sample, pace);
    if (!m_cold && limitInUse && sample.outcome == answer_outcome::answered && m_missShare < m_settings.missShare / 2) {
        // Before the first decrease the limit doubles with each limit's worth of answers, so that a queue that formed
        // during the cold start is worked off soon; after it, the limit grows by one.
        const double step = m_decreased ? 1.0 / m_adaptive : 1.0;
        m_adaptive = std::min(m_adaptive + step, static_cast<double>(std::max(1, m_settings.maximum)));
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

void adaptive_limiter::onCold(time_point now, const answer_sample &sample, double pace)
{
    if (sample.outcome == answer_outcome::failed) {
        changeCap(now, std::max(1, m_cap / 2));
        return;
    }
    pace_record &record = recordOf(sample);
    if (!record.reference && sample.tokens <= 1) {
        // The time of a token is too strict for a call, but without any reference a cold answer would be a proof.
        record.reference = m_streamPace.reference;
    }
    const bool atWarmSpeed = meetsTargets(sample, pace, record.reference)
        && (!record.reference || pace <= *record.reference * m_settings.warmFactor);
    if (!atWarmSpeed) {
        if (record.reference) {
            record.reference = std::min(*record.reference * paceRelaxation, pace);
        }
        return;
    }
    const bool startedAtThisCap = now - sample.service >= m_capChangedAt;
    if (!startedAtThisCap || m_peakInFlight * 2 < m_cap) {
        return;
    }
    if (++m_proofs < m_cap * m_settings.proofShare) {
        return;
    }
    changeCap(now, m_cap * 2);
    if (m_cap >= static_cast<int>(m_adaptive)) {
        m_cold = false;
        m_drops = 0;
        // The record of the other kind keeps its warm pace: its reference has no proof.
        record.warm = record.reference.value_or(pace);
        if (m_firstStart) {
            m_firstStart = false;
            m_firstWarmAt = now;
        }
    }
}

void adaptive_limiter::onWarm(time_point now, const answer_sample &sample, double pace)
{
    if (sample.outcome == answer_outcome::failed) {
        decrease(now);
        return;
    }
    std::optional<double> &warm = recordOf(sample).warm;
    if (warm && pace > *warm * m_settings.dropFactor) {
        if (++m_drops >= (sample.tokens > 1 ? m_settings.dropAnswers : m_settings.dropCalls)) {
            markCold(now);
        }
        return;
    }
    m_drops = 0;
    warm = warm ? *warm + smoothing * (pace - *warm) : pace;
    m_missShare += smoothing * ((meetsTargets(sample, pace, warm) ? 0.0 : 1.0) - m_missShare);
    if (m_missShare > m_settings.missShare) {
        decrease(now);
    }
}

void adaptive_limiter::changeCap(time_point now, int cap)
{
    m_cap = cap;
    m_proofs = 0;
    m_capChangedAt = now;
    m_peakInFlight = m_inFlight;
}

void adaptive_limiter::decrease(time_point now)
{
    if (now - m_decreasedAt >= m_settings.decreaseInterval) {
        m_adaptive = std::max(1.0, m_adaptive * decreaseFactor);
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
    // An endpoint process that was started again knows no warm speed, but the engine beside it may remember one. It is
    // an upper bound, because it holds the cold steps as well; below a remembered pace, it shows that the engine was
    // replaced by a faster one.
    if (m_cold && m_firstStart && !m_meanTaken && load.tokens >= learnedTokens) {
        m_meanTaken = true;
        std::optional<double> &reference = m_streamPace.reference;
        reference = std::min(reference.value_or(load.meanTokenSeconds), load.meanTokenSeconds);
    }
    forgetOldStarts(now);
    // The engine queues what its batch cannot hold; waiting here instead keeps the order fair and cancellable. An
    // engine that admits requests only between steps also shows those that came during a step, which is no overload.
    if (!m_cold && load.waiting - mostStartsInAStep(load) > std::max(1.0, 0.1 * load.running)) {
        decrease(now);
    }
}

void adaptive_limiter::forgetOldStarts(time_point now)
{
    while (!m_starts.empty() && now - m_starts.front() >= reportAge) {
        m_starts.pop_front();
    }
}

int adaptive_limiter::mostStartsInAStep(const back_end_load &load) const
{
    const double window = m_streamPace.warm.value_or(load.meanTokenSeconds) * admissionSteps;
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
    m_drops = 0;
    m_missShare = 0;
    // A ramp that is cut short must not leave the next one a slower pace to be measured against.
    for (pace_record *each : {&m_streamPace, &m_callPace}) {
        each->reference = each->warm;
    }
    m_meanTaken = false;
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
    // A pace that is too low only delays the cold start until the slow answers have raised it, so the lowest one of
    // entries that disagree is taken.
    record.warm = std::min(record.warm.value_or(remembered), remembered);
    record.reference = std::min(record.reference.value_or(remembered), remembered);
    return stricter;
}

void adaptive_limiter::onRememberedPace(time_point now, const warm_pace &remembered)
{
    if (!m_firstStart && (!m_firstWarmAt || now - *m_firstWarmAt > rememberedPaceGrace)) {
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
