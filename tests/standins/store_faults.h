#pragma once

#include <nlohmann/json.hpp>

#include <chrono>

namespace bronzechute::standins {

/** Faults that the stand-in store injects. */
struct store_faults
{
    bool outage = false; ///< Calls are refused with status 503; open watches end.
    bool outageCloses = false; ///< During an outage, connections are cut instead.
    std::chrono::milliseconds delay {0}; ///< Before a call takes effect.
    std::chrono::milliseconds answerDelay {0}; ///< After a call took effect.
    std::chrono::milliseconds holdEvents {0}; ///< How late watches report changes.
    int writesPerSecond = 0; ///< Writes over this rate wait; 0: no limit.
    int loseAnswers = 0; ///< The next writes take effect, but their answer is cut.

    /** Takes over the fields that the object has. */
    void merge(const nlohmann::json &fields)
    {
        using std::chrono::milliseconds;
        outage = fields.value("outage", outage);
        outageCloses = fields.value("outage_closes", outageCloses);
        delay = milliseconds(fields.value("delay_ms", delay.count()));
        answerDelay = milliseconds(fields.value("delay_answer_ms", answerDelay.count()));
        holdEvents = milliseconds(fields.value("hold_events_ms", holdEvents.count()));
        writesPerSecond = fields.value("writes_per_second", writesPerSecond);
        loseAnswers = fields.value("lose_answers", loseAnswers);
    }
};

} // namespace bronzechute::standins
