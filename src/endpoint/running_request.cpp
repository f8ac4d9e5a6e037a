#include "endpoint/running_request.h"

#include <algorithm>
#include <mutex>

namespace bronzechute {

namespace {

constexpr std::size_t maxDataFrameBytes = std::size_t {64} * 1024;

int countEventEnds(std::string_view bytes)
{
    int count = 0;
    for (std::size_t at = bytes.find("\n\n"); at != std::string_view::npos; at = bytes.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

} // namespace

running_request::running_request(const submit_frame &submit, link_ptr connection, request_observer &observer,
                                 std::unique_ptr<opentracing::Span> span)
    : m_submit(submit)
    , m_observer(observer)
    , m_span(std::move(span))
    , m_startedAt(boot_clock::now())
    , m_connection(std::move(connection))
    , m_window(submit.id, submit.windowBytes)
{
}

void running_request::setTransfer(const std::shared_ptr<transfer> &handle)
{
    bool cancelNow = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_transfer = handle;
        cancelNow = m_cancelled;
    }
    if (cancelNow) {
        handle->cancel();
    }
}

void running_request::sendLocked(const frame &message)
{
    if (m_connection != nullptr) {
        m_connection->send(message);
    }
}

void running_request::onHead(int status, const header_list &headers)
{
    const std::scoped_lock lock(m_mutex);
    m_head = response_head_frame {m_submit.id, status, headers};
    sendLocked(*m_head);
}

bool running_request::onBytes(std::string_view bytes)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_firstByteAt) {
        m_firstByteAt = boot_clock::now();
    }
    m_eventCount += countEventEnds(bytes);
    while (!bytes.empty()) {
        sendLocked(m_window.push(bytes.substr(0, maxDataFrameBytes)));
        bytes.remove_prefix(std::min(bytes.size(), maxDataFrameBytes));
    }
    if (m_window.isFull() && !m_paused && m_transfer != nullptr) {
        m_paused = true;
        m_transfer->pause();
    }
    return !m_cancelled;
}

void running_request::onEnd()
{
    end_frame end;
    {
        const std::scoped_lock lock(m_mutex);
        end = m_window.end();
    }
    finish(end, answer_outcome::answered);
}

void running_request::onError(const error &failure, bool mayHaveRun)
{
    const bool cancelled = failure.code == errc::cancelled;
    if (!mayHaveRun) {
        finish(refused_frame {m_submit.id, refusal_reason::unreachable, 0, failure.toString()},
               cancelled ? answer_outcome::cancelled : answer_outcome::failed);
        return;
    }
    finish(failed_frame {m_submit.id, request_outcome::unknown, failure.step, failure.toString()},
           cancelled ? answer_outcome::cancelled : answer_outcome::failed);
}

void running_request::finish(terminal_frame terminal, answer_outcome outcome)
{
    answer_sample sample;
    const bool mayHaveRun = !std::holds_alternative<refused_frame>(terminal);
    {
        const std::scoped_lock lock(m_mutex);
        const time_point now = boot_clock::now();
        m_terminal = std::move(terminal);
        m_endedAt = now;
        m_transfer = nullptr;
        sample.outcome = outcome;
        sample.firstToken = m_firstByteAt.value_or(now) - m_startedAt;
        sample.service = now - m_startedAt;
        sample.tokens = m_eventCount;
        sendTerminalLocked();
    }
    m_span->SetTag("answered", outcome == answer_outcome::answered);
    m_span->SetTag("events", static_cast<std::int64_t>(sample.tokens));
    m_span->Finish();
    m_observer.onRequestEnded(m_submit.id, sample, mayHaveRun);
}

void running_request::sendTerminalLocked()
{
    std::visit([this](const auto &message) { sendLocked(message); }, *m_terminal);
}

void running_request::credit(std::uint64_t nextSequence)
{
    const std::scoped_lock lock(m_mutex);
    m_window.credit(nextSequence);
    m_terminalCredited = m_terminal.has_value() && m_window.isDrained();
    if (m_paused && !m_window.isFull() && m_transfer != nullptr) {
        m_paused = false;
        m_transfer->resume();
    }
}

void running_request::resumeOn(const link_ptr &connection, std::uint64_t nextSequence)
{
    const std::scoped_lock lock(m_mutex);
    m_connection = connection;
    m_disconnectedSince.reset();
    sendLocked(accepted_frame {m_submit.id});
    if (!m_window.canReplayFrom(nextSequence)) {
        sendLocked(
            failed_frame {m_submit.id, request_outcome::unknown, "endpoint.resume", "frames are no longer kept"});
        return;
    }
    if (m_head) {
        sendLocked(*m_head);
    }
    for (const data_frame &data : m_window.framesFrom(nextSequence)) {
        sendLocked(data);
    }
    if (m_terminal) {
        sendTerminalLocked();
    }
}

void running_request::cancel()
{
    std::shared_ptr<transfer> running;
    {
        const std::scoped_lock lock(m_mutex);
        m_cancelled = true;
        running = m_transfer;
    }
    if (running != nullptr) {
        running->cancel();
    }
}

bool running_request::dropConnection(const link_ptr &connection, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_connection != connection) {
        return false;
    }
    m_connection = nullptr;
    m_disconnectedSince = now;
    return true;
}

std::optional<time_point> running_request::disconnectedSince() const
{
    const std::scoped_lock lock(m_mutex);
    return m_disconnectedSince;
}

bool running_request::isDelivered() const
{
    const std::scoped_lock lock(m_mutex);
    return m_terminalCredited;
}

std::optional<time_point> running_request::endedAt() const
{
    const std::scoped_lock lock(m_mutex);
    return m_endedAt;
}

} // namespace bronzechute
