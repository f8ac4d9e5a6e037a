#pragma once

#include "policy/admission_limiter.h"
#include "policy/limiter_settings.h"

#include <deque>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Additive increase while the limit is in use and answers meet the targets, multiplicative decrease otherwise, under a
 * cold-start cap that begins at 1.
 *
 * The cap doubles with a proof: answers at warm speed for half of the cap, all started after the last change of the
 * cap, while at least half of the cap was in use. The engine becomes cold again with a new start id, after consecutive
 * answers far below warm speed, and on markCold().
 *
 * Warm speed is the one before this cold start. A process that has none of its own takes the lowest of what entries
 * remember of the process before it and, for token streams, the engine's mean. When an entry's message comes after
 * proofs that were measured against a higher speed or none, the cap begins again at 1.
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
    /** Speed in one kind of answer, in seconds a token or a call. */
    struct pace_record
    {
        std::optional<double> warm; ///< Smoothed pace of the warm engine, or the remembered one.
        std::optional<double> reference; ///< Warm pace, raised by the slow answers of this cold start.
    };

    pace_record &recordOf(const answer_sample &sample);
    bool rememberPace(pace_record &record, double remembered) const;
    bool meetsTargets(const answer_sample &sample, double pace, std::optional<double> reference) const;
    void onCold(time_point now, const answer_sample &sample, double pace);
    void onWarm(time_point now, const answer_sample &sample, double pace);
    void decrease(time_point now);
    void changeCap(time_point now, int cap);
    void forgetOldStarts(time_point now);
    int mostStartsInAStep(const back_end_load &load) const;

    const limiter_settings m_settings;
    double m_adaptive; ///< Limit of the warm engine.
    int m_cap = 1; ///< Cold-start cap; only used while m_cold.
    bool m_cold = true;
    int m_inFlight = 0;
    int m_peakInFlight = 0; ///< Since the last change of the cap.
    int m_proofs = 0; ///< Answers at warm speed that started at the present cap.
    bool m_decreased = false; ///< Whether the limit has been lowered since the start of the process.
    double m_missShare = 0; ///< Smoothed share of answers that miss a target.
    int m_drops = 0; ///< Consecutive answers far below warm speed.
    pace_record m_streamPace;
    pace_record m_callPace;
    bool m_firstStart = true; ///< No warm pace of this process's own has been measured.
    bool m_meanTaken = false; ///< The engine's mean has been compared with the reference.
    std::optional<time_point> m_firstWarmAt; ///< End of the first cold start.
    time_point m_capChangedAt {};
    time_point m_decreasedAt {};
    std::string m_startId;
    std::deque<time_point> m_starts; ///< Of the requests that a load report may still show as waiting.
};

} // namespace bronzechute
