#include "entry/pending_request.h"

#include "request/attempt_limits.h"
#include "request/window_size.h"
#include "wire/frame_attempt.h"

#include <algorithm>
#include <cstring>
#include <mutex>

namespace bronzechute {

namespace {

/** Age of a gap in the sequence after which the missing frames are requested again. A healthy connection delivers in
 * order and closes a gap sooner. */
constexpr std::chrono::milliseconds gapTimeout {300};

/**
 * Time without a frame after which the last frames of a running attempt are requested again, because a lost end frame
 * leaves no gap in the sequence. Exceeds the 95th percentile of the time to first token, 1.6 s.
 */
constexpr std::chrono::seconds silenceTimeout {2};

} // namespace

pending_request::pending_request(const request_id &id) : m_id(id)
{
}

bool pending_request::beginAttempt(submit_frame submit, const link_ptr &connection)
{
    const std::scoped_lock lock(m_mutex);
    submit.id = {m_id, m_attempt.attempt + 1};
    m_attempt = submit.id;
    m_submittedAt = boot_clock::now();
    m_connection = connection;
    m_endpoint = connection->peer().node;
    m_incarnation = connection->peer().incarnation;
    m_assembler = std::make_unique<answer_assembler>(m_attempt, submit.windowBytes);
    m_head.reset();
    m_refusal.reset();
    m_failure.reset();
    m_cancelled.reset();
    m_detachedSince.reset();
    m_gapSince.reset();
    m_frameSinceCheck = false;
    m_silentSince.reset();
    m_readyBytes.clear();
    m_uncreditedBytes = 0;
    m_lost = false;
    m_corrupt = false;
    m_finalCreditSent = false;
    return connection->send(submit);
}

void pending_request::onFrame(const frame &message)
{
    {
        const std::scoped_lock lock(m_mutex);
        acceptLocked(message);
    }
    if (std::holds_alternative<accepted_frame>(message)) {
        return; // No waiting thread depends on this frame.
    }
    // Notify without the lock, because the woken thread acquires it immediately.
    m_changed.notify_all();
}

void pending_request::acceptLocked(const frame &message)
{
    const bool isCurrent = frameAttemptId(message) == m_attempt;
    m_frameSinceCheck = m_frameSinceCheck || isCurrent;
    if (const auto *data = std::get_if<data_frame>(&message)) {
        const frame_verdict verdict = m_assembler->addData(*data, m_readyBytes);
        m_corrupt = m_corrupt || verdict == frame_verdict::corrupt || verdict == frame_verdict::overflow;
        return;
    }
    if (const auto *end = std::get_if<end_frame>(&message)) {
        m_corrupt = m_corrupt || m_assembler->addEnd(*end) == frame_verdict::corrupt;
        return;
    }
    if (!isCurrent) {
        return;
    }
    if (const auto *head = std::get_if<response_head_frame>(&message)) {
        m_head = *head;
    } else if (const auto *refused = std::get_if<refused_frame>(&message)) {
        m_refusal = *refused;
    } else if (const auto *failed = std::get_if<failed_frame>(&message)) {
        m_failure = *failed;
    } else if (const auto *cancelled = std::get_if<cancelled_frame>(&message)) {
        m_cancelled = *cancelled;
    }
}

void pending_request::onDown(const link_ptr &connection, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_connection != connection) {
        return;
    }
    m_connection = nullptr;
    m_detachedSince = now;
    m_changed.notify_all();
}

void pending_request::onUp(const link_ptr &connection)
{
    const std::scoped_lock lock(m_mutex);
    if (m_connection != nullptr || connection->peer().node != m_endpoint) {
        return;
    }
    if (connection->peer().incarnation != m_incarnation) {
        // The process that ran the attempt has exited, and its state with it.
        m_lost = true;
        m_changed.notify_all();
        return;
    }
    m_connection = connection;
    m_detachedSince.reset();
    resumeLocked();
}

void pending_request::resumeLocked()
{
    if (m_connection != nullptr) {
        m_connection->send(resume_frame {m_attempt, m_assembler->nextSequence()});
    }
}

void pending_request::checkTimeoutsLocked(time_point now)
{
    if (m_detachedSince && now - *m_detachedSince > resumeTimeout) {
        m_lost = true;
    }
    if (!m_assembler->hasGap()) {
        m_gapSince.reset();
    } else if (!m_gapSince) {
        m_gapSince = now;
    } else if (now - *m_gapSince > gapTimeout) {
        m_gapSince = now;
        resumeLocked();
    }
    if (m_frameSinceCheck) {
        m_frameSinceCheck = false;
        m_silentSince = now;
    } else if (m_silentSince && !(m_head && m_assembler->complete()) && now - *m_silentSince > silenceTimeout) {
        // A frame of the attempt has arrived, so the endpoint process knows the attempt and a resume cannot cancel it.
        m_silentSince = now;
        resumeLocked();
    }
}

attempt_progress pending_request::progressLocked(bool untilFirstByte) const
{
    if (m_refusal || (m_cancelled && !m_cancelled->started)) {
        return attempt_progress::refused;
    }
    if (m_failure || m_corrupt || m_cancelled) {
        return attempt_progress::failed;
    }
    if (m_head && (!untilFirstByte || !m_readyBytes.empty() || m_assembler->complete())) {
        return attempt_progress::head;
    }
    return m_lost ? attempt_progress::lost : attempt_progress::waiting;
}

attempt_progress pending_request::wait(std::chrono::milliseconds duration, bool untilFirstByte)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, duration, [&] { return progressLocked(untilFirstByte) != attempt_progress::waiting; });
    checkTimeoutsLocked(boot_clock::now());
    return progressLocked(untilFirstByte);
}

std::size_t pending_request::read(char *buffer, std::size_t capacity, std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    const auto readableOrEnded = [this] {
        return !m_readyBytes.empty() || m_assembler->complete() || m_failure || m_refusal || m_cancelled || m_corrupt
            || m_lost;
    };
    m_changed.wait_for(lock, duration, readableOrEnded);
    checkTimeoutsLocked(boot_clock::now());
    const std::size_t count = std::min(capacity, m_readyBytes.size());
    if (count > 0) {
        std::memcpy(buffer, m_readyBytes.data(), count);
        m_readyBytes.erase(0, count);
        m_uncreditedBytes += count;
    }
    sendCreditLocked();
    return count;
}

void pending_request::sendCreditLocked()
{
    if (!m_readyBytes.empty() || m_connection == nullptr) {
        return;
    }
    const bool finished = m_assembler->complete();
    if (m_uncreditedBytes >= creditIntervalBytes || (finished && !m_finalCreditSent)) {
        m_uncreditedBytes = 0;
        m_finalCreditSent = finished;
        const credit_frame credit {m_attempt, m_assembler->nextSequence()};
        // A running stream may be blocked on its send window. The last credit only lets the endpoint process free the
        // frames that it keeps, so it can wait for the next write.
        if (finished) {
            m_connection->sendDeferred(credit);
        } else {
            m_connection->send(credit);
        }
    }
}

bool pending_request::complete() const
{
    const std::scoped_lock lock(m_mutex);
    return m_readyBytes.empty() && !m_corrupt && m_assembler->complete();
}

bool pending_request::broken() const
{
    const std::scoped_lock lock(m_mutex);
    if (!m_readyBytes.empty() || (!m_corrupt && m_assembler->complete())) {
        return false;
    }
    return m_corrupt || m_lost || m_failure || m_refusal || m_cancelled;
}

void pending_request::cancel()
{
    const std::scoped_lock lock(m_mutex);
    if (m_connection != nullptr) {
        m_connection->send(cancel_frame {m_attempt});
    }
}

bool pending_request::waitNotStarted(std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, duration, [this] { return m_cancelled || m_refusal || m_lost; });
    if (m_refusal) {
        return true;
    }
    // An endpoint process replies "not started" also for an attempt whose record has expired.
    return m_cancelled && !m_cancelled->started && boot_clock::now() - m_submittedAt < cancelProofValidity;
}

response_head_frame pending_request::head() const
{
    const std::scoped_lock lock(m_mutex);
    return m_head.value_or(response_head_frame {});
}

refused_frame pending_request::refusal() const
{
    const std::scoped_lock lock(m_mutex);
    return m_refusal.value_or(refused_frame {m_attempt, refusal_reason::cancelled, 0, "cancelled before it started"});
}

failed_frame pending_request::failure() const
{
    const std::scoped_lock lock(m_mutex);
    return m_failure.value_or(failed_frame {m_attempt, request_outcome::unknown, "entry.relay",
                                            m_corrupt ? "the answer is corrupt" : "the answer is incomplete"});
}

std::string pending_request::endpoint() const
{
    const std::scoped_lock lock(m_mutex);
    return m_endpoint;
}

} // namespace bronzechute
