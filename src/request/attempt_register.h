#pragma once

#include "base/boot_clock.h"
#include "wire/attempt_id.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

namespace bronzechute {

/** What an endpoint process knows about an attempt that arrives. */
enum class arrival {
    fresh, ///< Not seen before; it is registered now.
    duplicate, ///< Already registered: the copy is ignored.
    cancelled, ///< A cancel came first: refuse it, it was not run.
};

/**
 * Remembers every attempt that an endpoint process has seen or was told to cancel, so that a submit that is late or
 * doubled never runs after a cancel and never runs twice.
 */
class attempt_register
{
public:
    /**
     * @param retention how long an attempt is remembered after its end. It has to exceed the longest start budget of
     *        a submit, so that a copy that arrives later is refused as expired.
     */
    explicit attempt_register(std::chrono::milliseconds retention);

    arrival arrive(const attempt_id &id, time_point now);

    /** @returns false when the attempt was cancelled before: it must not be started. */
    bool start(const attempt_id &id);

    /**
     * Records the cancellation, also of an attempt that has not arrived.
     * @returns whether the attempt had been started
     */
    bool cancel(const attempt_id &id, time_point now);

    /** The attempt has ended; it is remembered for the retention time. */
    void finish(const attempt_id &id, time_point now);

    /**
     * The attempt was started and is known not to have run, for example because the engine refused the connection. It
     * is remembered as cancelled, so that a later cancel is answered with the proof again.
     */
    void finishNotRun(const attempt_id &id, time_point now);

    /** Forgets what ended longer ago than the retention time. */
    void expire(time_point now);

    std::size_t size() const
    {
        return m_attempts.size();
    }

private:
    enum class phase { arrived, started, cancelled, finished };

    struct expiry
    {
        time_point at;
        attempt_id id;
    };

    void end(const attempt_id &id, phase last, time_point now);

    std::chrono::milliseconds m_retention;
    std::map<attempt_id, phase> m_attempts;
    std::deque<expiry> m_expiries; ///< In order of time.
};

} // namespace bronzechute
