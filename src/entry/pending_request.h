#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "entry/attempt_progress.h"
#include "link/link_handler.h"
#include "request/answer_assembler.h"
#include "wire/frame.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * A caller's request at the entry: the attempt under way, what has arrived of its answer and what the caller has been
 * given. Frames come from threads of the links, reads from the caller's own thread.
 */
class pending_request
{
public:
    explicit pending_request(const request_id &id);

    const request_id &id() const
    {
        return m_id;
    }

    /** Sends the submit. @returns false when the connection is down, so that nothing was sent. */
    bool beginAttempt(submit_frame submit, const link_ptr &connection);

    /** A frame for this request arrived. */
    void onFrame(const frame &message);

    /** The connection is down; the attempt waits for a fresh one to the same process. */
    void onDown(const link_ptr &connection, time_point now);

    /** A connection to an endpoint process is up: resumes the attempt when it is the same process. */
    void onUp(const link_ptr &connection);

    /**
     * Waits for news of the attempt, at most for the given time.
     * @param untilByte whether a head is news only with the first byte of the answer or its end
     */
    attempt_progress wait(std::chrono::milliseconds duration, bool untilByte = false);

    /** Waits until there are bytes, the end, or the time is over. @returns the number of bytes moved to the buffer. */
    std::size_t read(char *buffer, std::size_t capacity, std::chrono::milliseconds duration);

    /** @returns whether the whole answer has been read. */
    bool complete() const;

    /** @returns whether the answer can no longer become whole. */
    bool broken() const;

    /** Asks the endpoint to stop or never to start. Does not wait. */
    void cancel();

    /**
     * Waits for the answer to cancel().
     * @returns whether the attempt was proved not to have started; false also when there was no answer
     */
    bool waitNotStarted(std::chrono::milliseconds duration);

    response_head_frame head() const;
    refused_frame refusal() const;
    failed_frame failure() const;
    std::string endpoint() const;

private:
    void acceptLocked(const frame &message);
    void creditLocked();
    void resumeLocked();
    void checkAgeLocked(time_point now);
    attempt_progress progressLocked(bool untilByte) const;

    const request_id m_id;

    mutable ranked_mutex m_mutex {lock_rank::request};
    std::condition_variable_any m_changed;
    attempt_id m_attempt;
    time_point m_submittedAt;
    link_ptr m_connection;
    std::string m_endpoint;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<answer_assembler> m_assembler;
    std::optional<response_head_frame> m_head;
    std::optional<refused_frame> m_refusal;
    std::optional<failed_frame> m_failure;
    std::optional<cancelled_frame> m_cancelled;
    std::optional<time_point> m_detachedSince;
    std::optional<time_point> m_gapSince;
    bool m_heard = false; ///< Whether a frame of the attempt came since its age was checked.
    std::optional<time_point> m_quietSince; ///< Since when none came; absent until the first one.
    std::string m_ready; ///< Bytes in order that the caller has not been given.
    std::size_t m_uncreditedBytes = 0; ///< Bytes given to the caller since the last credit.
    bool m_lost = false;
    bool m_corrupt = false;
    bool m_finalCreditSent = false;
};

} // namespace bronzechute
