#include "entry/pending_request.h"

#include "request/attempt_limits.h"
#include "request/window_size.h"
#include "wire/frame_attempt.h"

#include <algorithm>
#include <cstring>
#include <mutex>

namespace bronzechute {

namespace {

/** Longer than an in-order connection ever leaves a gap; then the missing frames are asked for again. */
constexpr std::chrono::milliseconds gapPatience {300};

/**
 * Silence of a running attempt after which its last frames are asked for again: the loss of an end leaves no gap.
 * Longer than the 1.6 s within which 95 % of first tokens come.
 */
constexpr std::chrono::seconds quietPatience {2};

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
    m_heard = false;
    m_quietSince.reset();
    m_ready.clear();
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
        return; // No wait depends on it.
    }
    // Without the lock, which the woken thread needs at once.
    m_changed.notify_all();
}

void pending_request::acceptLocked(const frame &message)
{
    const bool isCurrent = attemptOf(message) == m_attempt;
    m_heard = m_heard || isCurrent;
    if (const auto *data = std::get_if<data_frame>(&message)) {
        const frame_verdict verdict = m_assembler->addData(*data, m_ready);
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
        // The process that had the attempt is gone, and with it what it knew.
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

void pending_request::checkAgeLocked(time_point now)
{
    if (m_detachedSince && now - *m_detachedSince > resumeGrace) {
        m_lost = true;
    }
    if (!m_assembler->hasGap()) {
        m_gapSince.reset();
    } else if (!m_gapSince) {
        m_gapSince = now;
    } else if (now - *m_gapSince > gapPatience) {
        m_gapSince = now;
        resumeLocked();
    }
    if (m_heard) {
        m_heard = false;
        m_quietSince = now;
    } else if (m_quietSince && !(m_head && m_assembler->complete()) && now - *m_quietSince > quietPatience) {
        // A frame of the attempt has come, so that the endpoint process runs it: a resume cannot cancel it.
        m_quietSince = now;
        resumeLocked();
    }
}

attempt_progress pending_request::progressLocked(bool untilByte) const
{
    if (m_refusal || (m_cancelled && !m_cancelled->started)) {
        return attempt_progress::refused;
    }
    if (m_failure || m_corrupt || m_cancelled) {
        return attempt_progress::failed;
    }
    if (m_head && (!untilByte || !m_ready.empty() || m_assembler->complete())) {
        return attempt_progress::head;
    }
    return m_lost ? attempt_progress::lost : attempt_progress::waiting;
}

attempt_progress pending_request::wait(std::chrono::milliseconds duration, bool untilByte)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, duration, [&] { return progressLocked(untilByte) != attempt_progress::waiting; });
    checkAgeLocked(boot_clock::now());
    return progressLocked(untilByte);
}

std::size_t pending_request::read(char *buffer, std::size_t capacity, std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    const auto somethingHappened = [this] {
        return !m_ready.empty() || m_assembler->complete() || m_failure || m_refusal || m_cancelled || m_corrupt
            || m_lost;
    };
    m_changed.wait_for(lock, duration, somethingHappened);
    checkAgeLocked(boot_clock::now());
    const std::size_t count = std::min(capacity, m_ready.size());
    if (count > 0) {
        std::memcpy(buffer, m_ready.data(), count);
        m_ready.erase(0, count);
        m_uncreditedBytes += count;
    }
    creditLocked();
    return count;
}

void pending_request::creditLocked()
{
    if (!m_ready.empty() || m_connection == nullptr) {
        return;
    }
    const bool finished = m_assembler->complete();
    if (m_uncreditedBytes >= creditBytes || (finished && !m_finalCreditSent)) {
        m_uncreditedBytes = 0;
        m_finalCreditSent = finished;
        const credit_frame credit {m_attempt, m_assembler->nextSequence()};
        // A running stream may be waiting for its window; the last credit only frees what the endpoint process keeps.
        if (finished) {
            m_connection->sendSoon(credit);
        } else {
            m_connection->send(credit);
        }
    }
}

bool pending_request::complete() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ready.empty() && !m_corrupt && m_assembler->complete();
}

bool pending_request::broken() const
{
    const std::scoped_lock lock(m_mutex);
    if (!m_ready.empty() || (!m_corrupt && m_assembler->complete())) {
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
    // An endpoint process that has forgotten the attempt answers as if it had never arrived.
    return m_cancelled && !m_cancelled->started && boot_clock::now() - m_submittedAt < cancelProofAge;
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
