#pragma once

#include "policy/admission_limiter.h"
#include "policy/limiter_settings.h"

#include <deque>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Adaptive concurrency limiter (AIMD): additive increase while the limit is in use and responses meet the targets,
 * multiplicative decrease otherwise. During a cold start, a cap that begins at 1 applies in addition (slow start).
 *
 * The cap doubles when it is confirmed: responses at warm speed, as many as half of the cap, all started after the last
 * change of the cap, while at least half of the cap was in use. The engine becomes cold again with a new start id,
 * after consecutive responses far below warm speed, and on markCold().
 *
 * Warm speed is the speed before this cold start. A process that has measured none takes the lowest time per token or
 * call of those that entries remember of the previous process and, for token streams, the engine's mean. When an entry
 * reports a lower time after the cap was confirmed against a higher one or none, the cap begins again at 1.
 */
class adaptive_limiter : public admission_limiter
{
public:
    explicit adaptive_limiter(const limiter_settings &settings = {});

    int limit(time_point now) const override;
    bool cold() const override;
    void onStarted(time_point now) override;
    void onFinished(time_point now, const answer_sample &sample) override;
    void onLoadReport(time_point now, const back_end_load &load) override;
    void markCold(time_point now) override;
    void onRememberedPace(time_point now, const warm_pace &remembered) override;
    warm_pace warmPace() const override;

    int inFlight() const
    {
        return m_inFlight;
    }

private:
    /** Measured speed of one kind of response, in seconds per token or per call. */
    struct pace_record
    {
        std::optional<double> warm; ///< Smoothed time on the warm engine, or the remembered time.
        std::optional<double> reference; ///< Warm time, raised by slow responses during this cold start.
    };

    pace_record &recordOf(const answer_sample &sample);
    bool rememberPace(pace_record &record, double remembered) const;
    bool meetsTargets(const answer_sample &sample, double pace, std::optional<double> reference) const;
    void onColdAnswer(time_point now, const answer_sample &sample, double pace);
    void onWarmAnswer(time_point now, const answer_sample &sample, double pace);
    void decrease(time_point now);
    void changeCap(time_point now, int cap);
    void removeOldStarts(time_point now);
    int maxStartsPerStep(const back_end_load &load) const;

    const limiter_settings m_settings;
    double m_warmLimit; ///< Concurrency limit of the warm engine.
    int m_cap = 1; ///< Cold-start cap; only used while m_cold.
    bool m_cold = true;
    int m_inFlight = 0;
    int m_peakInFlight = 0; ///< Since the last change of the cap.
    int m_confirmations = 0; ///< Responses at warm speed that started under the current cap.
    bool m_decreased = false; ///< Whether the limit has been lowered since the start of the process.
    double m_missShare = 0; ///< Smoothed share of responses that miss a target.
    int m_slowdowns = 0; ///< Consecutive responses far below warm speed.
    pace_record m_streamPace;
    pace_record m_callPace;
    bool m_firstColdStart = true; ///< Whether this process has not measured a warm speed yet.
    bool m_meanApplied = false; ///< Whether the engine's mean has been compared with the reference.
    std::optional<time_point> m_firstWarmAt; ///< End of the first cold start.
    time_point m_capChangedAt {};
    time_point m_decreasedAt {};
    std::string m_startId;
    std::deque<time_point> m_starts; ///< Start times of the requests that a load report may still show as waiting.
};

} // namespace bronzechute
