#pragma once

#include "base/ranked_mutex.h"
#include "standins/fault_settings.h"

#include <condition_variable>
#include <functional>
#include <string>

namespace bronzechute::standins {

/** The faults of one stand-in, set over HTTP and read by its threads. */
class fault_board
{
public:
    /** @param turnCold called with a number of requests for the field "turn_cold" */
    explicit fault_board(std::function<void(int)> turnCold) : m_turnCold(std::move(turnCold))
    {
    }

    /**
     * Takes the fields stall, slow_factor, turn_cold, cut_after_tokens, never_answer and crash from a JSON object;
     * absent ones keep their value. "crash": true ends the process with status 70 at once.
     * @returns an empty text, or what is wrong with the JSON.
     */
    std::string apply(const std::string &json);

    fault_settings current();

    /** Blocks while the settings hold the fault. @returns false when stop() was called. */
    bool waitWhile(bool fault_settings::*fault);

    /** Ends all waits for good. */
    void stop();

private:
    std::function<void(int)> m_turnCold;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    fault_settings m_settings;
    bool m_stopped = false;
};

} // namespace bronzechute::standins
