#pragma once

#include "base/boot_clock.h"
#include "wire/attempt_id.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

namespace bronzechute {

/** Result of registering an attempt that arrives at an endpoint process. */
enum class arrival {
    fresh, ///< Not seen before; it is registered now.
    duplicate, ///< Already registered: the duplicate is ignored.
    cancelled, ///< Cancelled before it arrived: it is refused and does not run.
};

/**
 * Records every attempt that an endpoint process has received or was told to cancel. Guarantees that a late or
 * duplicate submit does not run after a cancel and that no attempt runs twice.
 */
class attempt_registry
{
public:
    /**
     * @param retention how long the record of an attempt is kept after its end. Must exceed the maximum queue timeout
     *        of a submit, so that a duplicate that arrives after the record is removed is refused as expired.
     */
    explicit attempt_registry(std::chrono::milliseconds retention);

    /** Registers an attempt whose submit has arrived. */
    arrival registerAttempt(const attempt_id &id, time_point now);

    /** Marks the attempt as started. @returns false when it must not be started, for example after a cancel. */
    bool start(const attempt_id &id);

    /**
     * Records the cancellation, also of an attempt that has not arrived.
     * @returns whether the attempt had been started
     */
    bool cancel(const attempt_id &id, time_point now);

    /** Records the end of the attempt; the record is kept for the retention time. */
    void finish(const attempt_id &id, time_point now);

    /**
     * Records that the attempt was started but did not run, for example because the engine refused the connection. It
     * is recorded as cancelled, so that a later cancel is answered with "not started" too.
     */
    void finishWithoutRun(const attempt_id &id, time_point now);

    /** Removes the records of attempts that ended longer ago than the retention time. */
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
    std::deque<expiry> m_expiries; ///< Ordered by time, earliest first.
};

} // namespace bronzechute
