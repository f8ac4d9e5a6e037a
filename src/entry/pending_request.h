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
 * A request at the entry: its current attempt, the received part of the answer and how much of it was read. Frames
 * arrive on the threads of the links; the thread that handles the caller's connection reads.
 */
class pending_request
{
public:
    explicit pending_request(const request_id &id);

    const request_id &id() const
    {
        return m_id;
    }

    /** Sends the submit frame of a new attempt. @returns false when the connection is down and nothing was sent. */
    bool beginAttempt(submit_frame submit, const link_ptr &connection);

    /** Handles a frame for this request. */
    void onFrame(const frame &message);

    /** Handles a lost connection: the attempt waits for a new connection to the same process. */
    void onDown(const link_ptr &connection, time_point now);

    /** Handles a new connection to an endpoint: resumes the attempt when it is the same process. */
    void onUp(const link_ptr &connection);

    /**
     * Waits until the state of the attempt changes or the duration has passed.
     * @param untilFirstByte whether a head is reported only together with the first byte or the end of the answer
     */
    attempt_progress wait(std::chrono::milliseconds duration, bool untilFirstByte = false);

    /**
     * Waits until bytes are available, the attempt has ended or the duration has passed.
     * @returns the number of bytes moved to the buffer
     */
    std::size_t read(char *buffer, std::size_t capacity, std::chrono::milliseconds duration);

    /** @returns whether the whole answer has been read. */
    bool complete() const;

    /** @returns whether the answer can no longer be completed. */
    bool broken() const;

    /** Asks the endpoint to stop the attempt or not to start it. Does not wait for the reply. */
    void cancel();

    /**
     * Waits for the endpoint's reply to cancel().
     * @returns whether the endpoint confirmed that the attempt was never started; false also without a reply
     */
    bool waitNotStarted(std::chrono::milliseconds duration);

    response_head_frame head() const;
    refused_frame refusal() const;
    failed_frame failure() const;
    std::string endpoint() const;

private:
    void acceptLocked(const frame &message);
    void sendCreditLocked();
    void resumeLocked();
    void checkTimeoutsLocked(time_point now);
    attempt_progress progressLocked(bool untilFirstByte) const;

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
    bool m_frameSinceCheck = false; ///< Whether a frame arrived since the timeouts were last checked.
    std::optional<time_point> m_silentSince; ///< Since when none has arrived; empty until the first frame.
    std::string m_readyBytes; ///< Received bytes, in order, that were not read yet.
    std::size_t m_uncreditedBytes = 0; ///< Bytes read since the last credit frame.
    bool m_lost = false;
    bool m_corrupt = false;
    bool m_finalCreditSent = false;
};

} // namespace bronzechute
