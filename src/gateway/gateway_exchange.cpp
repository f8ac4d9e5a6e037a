#include "gateway/gateway_exchange.h"

#include "balance/useful_start.h"
#include "gateway/attempt_headers.h"
#include "gateway/endpoint_call.h"
#include "gateway/message_head.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace bronzechute {

namespace {

// The caller gives a stream up after two seconds without an event: time is left to continue elsewhere.
constexpr std::chrono::milliseconds firstEventTimeout {1300};
constexpr std::chrono::milliseconds eventTimeout {900};
// An idempotent request without an answer after this multiple of its target is sent elsewhere.
constexpr int idempotentTargets = 2;
// Usual time from the start at an endpoint to the first event.
constexpr std::chrono::milliseconds usualFirstEvent {220};
constexpr std::chrono::milliseconds retryAfterFailure {100};
// An endpoint that fails is avoided for this time, doubled with each further failure in a row.
constexpr std::chrono::milliseconds avoidance {250};
constexpr int mostDoublings = 4;
// Callers use at most a third of the time that they have left until they return.
constexpr int returnShare = 3;
constexpr std::size_t unsentLimit = std::size_t {256} * 1024;
constexpr double gapSmoothing = 0.1;
constexpr double longestGapDecay = 0.02;

std::int64_t milliseconds(boot_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string secondsText(std::chrono::milliseconds time)
{
    constexpr double perSecond = 1000.0;
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / perSecond);
    return text.data();
}

} // namespace

gateway_exchange::gateway_exchange(const gateway_context &context, gateway_request request, exchange_plan plan,
                                   caller_response &response)
    : m_context(context)
    , m_request(std::move(request))
    , m_plan(std::move(plan))
    , m_response(response)
    , m_id(findHeader(m_request.headers, context.headers.requestId).value_or(""))
    , m_deadlineTimer(context.loop)
    , m_attemptTimer(context.loop)
{
    if (const auto last = findHeader(m_request.headers, "Last-Event-ID")) {
        std::int64_t id = 0;
        if (std::from_chars(last->data(), last->data() + last->size(), id).ec == std::errc()) {
            m_lastEventId = id;
        }
    }
}

bool gateway_exchange::streaming() const
{
    return m_plan.matched->kind == request_kind::streaming;
}

void gateway_exchange::start()
{
    startDeadline();
    m_context.dispatch.countRequest(m_plan.service);
    if (m_context.redirect.active() && !m_plan.returned
        && m_context.endpoints.fails(m_plan.service, boot_clock::now())) {
        fail(statusUnavailable, "left_to_others", returnTime(refusal_cause::unavailable, {}));
        return;
    }
    requestPlacement();
}

void gateway_exchange::requestPlacement()
{
    const time_point now = boot_clock::now();
    m_waitFrom = now;
    waiting_request waiting;
    waiting.priority = m_plan.priority;
    waiting.account = m_plan.account;
    waiting.arrivedAt = m_request.arrivedAt;
    waiting.returned = m_plan.returned || !m_tried.empty();
    waiting.lastTry = m_plan.returned;
    const std::chrono::milliseconds target = m_plan.matched->latencyTarget;
    const std::chrono::milliseconds usual = streaming() ? usualFirstEvent : target / 2;
    const useful_start useful =
        usefulStart({m_request.arrivedAt, target, usual, m_plan.deadline, m_plan.returned}, now);
    waiting.inTimeUntil = useful.inTimeUntil;
    waiting.giveUpAt = useful.giveUpAt;
    m_ticket = m_context.dispatch.submit(m_plan.service, waiting, shared_from_this());
}

std::span<const std::string> gateway_exchange::tried() const
{
    return m_tried;
}

void gateway_exchange::onPlaced(const gateway_endpoint_ptr &endpoint)
{
    m_ticket.reset();
    m_endpoint = endpoint;
    m_waited += boot_clock::now() - m_waitFrom;
    if (m_tried.empty()) {
        m_context.metrics.wait.observe(boot_clock::now() - m_waitFrom);
    } else {
        m_context.metrics.repeats.add();
    }
    m_tried.push_back(endpoint->record.id);
    send();
}

void gateway_exchange::onRefused(refusal reason, boot_clock::duration expectedWait)
{
    m_ticket.reset();
    if (m_headRelayed) {
        m_response.abort();
        finishExchange("cut", 0);
        return;
    }
    if (m_mayHaveRun) {
        fail(statusBadGateway, "unknown", retryAfterFailure);
        return;
    }
    static constexpr std::array<const char *, 3> outcomes {"no_endpoint", "line_too_long", "waited_too_long"};
    const auto cause = reason == refusal::no_endpoint ? refusal_cause::unavailable : refusal_cause::overloaded;
    fail(statusUnavailable, outcomes.at(static_cast<std::size_t>(reason)), returnTime(cause, expectedWait));
}

std::chrono::milliseconds gateway_exchange::returnTime(refusal_cause cause, boot_clock::duration expectedWait) const
{
    const time_point now = boot_clock::now();
    const auto latest = (m_plan.callerDeadline - now) / returnShare;
    if (m_context.redirect.active()) {
        return m_context.redirect.returnAfter(now, latest, m_context.dispatch.random());
    }
    return returnAfter(cause, expectedWait, latest, m_context.dispatch.random());
}

void gateway_exchange::send()
{
    m_attemptAt = boot_clock::now();
    m_lastEventAt = m_attemptAt;
    m_cutter = {};
    m_body.clear();
    m_relaying = false;
    m_channel = takeChannel(m_context.loop, *m_endpoint);
    ++m_sends;
    startAttemptTimer();
    const auto resumeAfter = m_eventsRelayed > 0 ? m_lastEventId : std::nullopt;
    const header_list headers =
        attemptHeaders(m_request, m_plan, m_context.headers, m_endpoint->record.id, resumeAfter, m_attemptAt);
    m_channel->start(formatRequestHead(m_request.method, m_request.target, headers), m_request.body,
                     shared_from_this());
}

void gateway_exchange::onHead(answer_head head)
{
    const wire_headers &names = m_context.headers;
    const auto id = findHeader(head.headers, names.requestId);
    if (id && *id != m_id) {
        continueAfter(attempt_end::failed, "answer of another request");
        return;
    }
    if (head.status == statusMisdirected || findHeader(head.headers, names.notRun)) {
        const auto fault = findHeader(head.headers, names.faultEndpoint);
        if (fault && *fault != m_endpoint->record.id) {
            m_context.endpoints.recordBrokenGroup(*m_endpoint, boot_clock::now());
        }
        continueAfter(attempt_end::refused, "status " + std::to_string(head.status));
        return;
    }
    const bool success = head.status >= statusOk && head.status < 300;
    const bool genuine = findHeader(head.headers, names.signature) && !findHeader(head.headers, "Content-Encoding");
    if (success && !genuine) {
        continueAfter(attempt_end::failed, "answer without a signature or with an encoding");
        return;
    }
    if (head.status >= statusServerError && m_plan.matched->kind == request_kind::idempotent
        && mayTryAgain(attempt_end::failed) && m_context.dispatch.mayRepeat(m_plan.service)) {
        m_mayHaveRun = true;
        endAttempt(attempt_end::failed, "status " + std::to_string(head.status));
        requestPlacement();
        return;
    }
    if (m_headRelayed && !success) {
        continueAfter(attempt_end::failed, "status " + std::to_string(head.status) + " to a continued stream");
        return;
    }
    removeHeader(head.headers, "Content-Length");
    m_mayHaveRun = true;
    m_relaying = streaming() && success;
    if (!m_headRelayed) {
        m_head = std::move(head);
    }
}

void gateway_exchange::onBody(std::string_view bytes)
{
    if (m_relaying) {
        relayEvents(bytes);
    } else {
        m_body.append(bytes);
    }
}

void gateway_exchange::relayEvents(std::string_view bytes)
{
    const time_point now = boot_clock::now();
    for (const raw_event &event : m_cutter.feed(bytes)) {
        if (!relayEvent(event)) {
            return;
        }
        const bool follows = m_eventsRelayed > 1;
        m_context.endpoints.recordEvent(*m_endpoint, follows ? std::optional(now - m_lastEventAt) : std::nullopt, now);
        if (follows) {
            const double gap = std::chrono::duration<double, std::milli>(now - m_lastEventAt).count();
            m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
            double &smoothed = m_endpoint->gapMs;
            smoothed = smoothed == 0 ? gap : smoothed + gapSmoothing * (gap - smoothed);
            double &longest = m_endpoint->longestGapMs;
            longest = std::max(gap, longest + longestGapDecay * (gap - longest));
        }
        m_lastEventAt = now;
    }
}

bool gateway_exchange::relayEvent(const raw_event &event)
{
    if (event.id && m_lastEventId) {
        if (*event.id <= *m_lastEventId) {
            return true; // Relayed before, by an earlier attempt.
        }
        if (*event.id != *m_lastEventId + 1) {
            continueAfter(attempt_end::failed, "an event is missing");
            return false;
        }
    }
    if (!m_headRelayed) {
        m_headRelayed = true;
        m_response.begin(m_head);
        recordFirstByte();
    }
    if (event.id) {
        m_lastEventId = event.id;
    }
    ++m_eventsRelayed;
    m_response.send(event.bytes);
    return true;
}

void gateway_exchange::onComplete()
{
    if (m_relaying) {
        completeStream();
    } else {
        completeWhole();
    }
}

void gateway_exchange::completeStream()
{
    if (m_cutter.hasPartial()) {
        continueAfter(attempt_end::failed, "the stream ended within an event");
        return;
    }
    if (!m_headRelayed) {
        m_headRelayed = true;
        m_response.begin(m_head);
        recordFirstByte();
    }
    endAttempt(attempt_end::answered, {});
    m_response.finish();
    finishExchange("answered", m_head.status);
}

void gateway_exchange::completeWhole()
{
    endAttempt(attempt_end::answered, {});
    recordFirstByte();
    m_response.respond(m_head, m_body);
    finishExchange(m_head.status >= statusServerError ? "endpoint_error" : "answered", m_head.status);
}

void gateway_exchange::onFailure(const channel_failure &failure)
{
    const std::string cause = failure.step + ": " + failure.cause;
    if (!failure.sent) {
        --m_sends;
        continueAfter(attempt_end::not_sent, cause);
        return;
    }
    continueAfter(attempt_end::failed, cause);
}

void gateway_exchange::continueAfter(attempt_end end, const std::string &cause)
{
    if (end == attempt_end::failed) {
        m_mayHaveRun = true;
    }
    const bool again =
        mayTryAgain(end) && (end == attempt_end::not_sent || m_context.dispatch.mayRepeat(m_plan.service));
    endAttempt(end, cause);
    if (again) {
        requestPlacement();
        return;
    }
    if (m_headRelayed) {
        m_response.abort();
        finishExchange("cut", 0);
    } else if (m_mayHaveRun) {
        fail(statusBadGateway, "unknown", retryAfterFailure);
    } else {
        fail(statusUnavailable, "not_run", returnTime(refusal_cause::unavailable, {}));
    }
}

bool gateway_exchange::mayTryAgain(attempt_end end) const
{
    if (boot_clock::now() >= m_plan.deadline || m_sends >= m_plan.matched->maxAttempts) {
        return false;
    }
    return end == attempt_end::failed ? m_plan.matched->repeatable() : true;
}

const char *gateway_exchange::nameOf(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::refused:
        return "refused";
    case attempt_end::failed:
        return "failed";
    }
    return "failed";
}

void gateway_exchange::endAttempt(attempt_end end, const std::string &cause)
{
    m_attemptTimer.cancel();
    const gateway_endpoint_ptr endpoint = std::move(m_endpoint);
    const std::shared_ptr<endpoint_channel> channel = std::move(m_channel);
    m_endpoint = nullptr;
    m_channel = nullptr;
    if (endpoint == nullptr) {
        return;
    }
    const time_point now = boot_clock::now();
    if (end == attempt_end::answered) {
        endpoint->failures = 0;
        m_context.endpoints.recordAnswer(*endpoint, now);
        returnChannel(*endpoint, channel);
    } else {
        channel->cancel();
        endpoint->avoidUntil = now + avoidance * (1 << std::min(endpoint->failures, mostDoublings));
        ++endpoint->failures;
        m_context.endpoints.recordFailure(*endpoint);
        logLine(log_level::info, "gateway", "attempt ended without an answer",
                {{"request_id", m_id},
                 {"endpoint", endpoint->record.id},
                 {"peer", endpoint->record.address},
                 {"attempt", m_tried.size()},
                 {"end", nameOf(end)},
                 {"cause", cause},
                 {"after_ms", milliseconds(now - m_attemptAt)},
                 {"own_running", endpoint->ownRunning},
                 {"peers_running", endpoint->peersRunning}});
    }
    m_context.dispatch.release(endpoint);
}

void gateway_exchange::fail(int status, const std::string &outcome, std::chrono::milliseconds retryAfter)
{
    answer_head head {status, reasonOf(status), {{"Retry-After", secondsText(retryAfter)}}};
    if (!m_id.empty()) {
        head.headers.emplace_back(m_context.headers.requestId, m_id);
    }
    m_response.respond(head, {});
    finishExchange(outcome, status);
}

void gateway_exchange::finishExchange(const std::string &outcome, int status)
{
    m_ended = true;
    m_deadlineTimer.cancel();
    m_attemptTimer.cancel();
    const time_point now = boot_clock::now();
    m_context.metrics.countOutcome(outcome);
    m_context.metrics.total.observe(now - m_request.arrivedAt);
    logLine(log_level::info, "gateway", "request ended",
            {{"request_id", m_id},
             {"outcome", outcome},
             {"status", status},
             {"route", m_plan.matched->name},
             {"service", m_plan.service},
             {"account", m_plan.account},
             {"configuration", m_plan.table->version()},
             {"returned", m_plan.returned},
             {"endpoints", m_tried},
             {"events", m_eventsRelayed},
             {"first_byte_ms", m_firstByteAt ? milliseconds(*m_firstByteAt - m_request.arrivedAt) : -1},
             {"wait_ms", milliseconds(m_waited)},
             {"longest_gap_ms", milliseconds(m_longestGap)},
             {"total_ms", milliseconds(now - m_request.arrivedAt)},
             {"left_ms", milliseconds(m_plan.deadline - now)}});
}

void gateway_exchange::recordFirstByte()
{
    m_firstByteAt = boot_clock::now();
    m_context.metrics.firstByte.observe(*m_firstByteAt - m_request.arrivedAt);
}

bool gateway_exchange::wantsMore() const
{
    return m_response.unsentBytes() < unsentLimit;
}

void gateway_exchange::onCallerReady()
{
    if (m_channel != nullptr && wantsMore()) {
        m_channel->resume();
    }
}

void gateway_exchange::onCallerGone()
{
    if (m_ended) {
        return;
    }
    const auto self = shared_from_this();
    if (m_ticket) {
        m_context.dispatch.withdraw(m_plan.service, *m_ticket);
        m_ticket.reset();
    }
    if (m_endpoint != nullptr) {
        m_channel->cancel();
        m_context.dispatch.release(m_endpoint);
        m_endpoint = nullptr;
        m_channel = nullptr;
    }
    finishExchange("caller_gone", 0);
}

void gateway_exchange::startDeadline()
{
    m_deadlineTimer.expires_after(m_plan.deadline - boot_clock::now());
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &code) {
        const auto self = weak.lock();
        if (!code && self != nullptr && !self->m_ended) {
            self->onDeadline();
        }
    });
}

void gateway_exchange::onDeadline()
{
    if (m_ticket) {
        m_context.dispatch.withdraw(m_plan.service, *m_ticket);
        m_ticket.reset();
    }
    m_mayHaveRun = m_mayHaveRun || m_endpoint != nullptr;
    endAttempt(attempt_end::failed, "deadline");
    if (m_headRelayed) {
        m_response.abort();
        finishExchange("deadline", 0);
    } else {
        fail(m_mayHaveRun ? statusGatewayTimeout : statusUnavailable, "deadline", retryAfterFailure);
    }
}

std::chrono::milliseconds gateway_exchange::progressLimit() const
{
    if (streaming() && m_plan.matched->resumable) {
        return m_relaying && m_eventsRelayed > 0 ? eventTimeout : firstEventTimeout;
    }
    if (m_plan.matched->kind == request_kind::idempotent) {
        return m_plan.matched->latencyTarget * idempotentTargets;
    }
    return std::chrono::milliseconds(0);
}

void gateway_exchange::startAttemptTimer()
{
    const std::chrono::milliseconds limit = progressLimit();
    if (limit.count() == 0 || m_endpoint == nullptr) {
        return;
    }
    // Events do not restart the timer, which would cost a system call each; it is set anew when it expires.
    m_attemptTimer.expires_after(m_lastEventAt + limit - boot_clock::now());
    m_attemptTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &code) {
        const auto self = weak.lock();
        if (code || self == nullptr || self->m_ended || self->m_endpoint == nullptr) {
            return;
        }
        if (boot_clock::now() < self->m_lastEventAt + self->progressLimit()) {
            self->startAttemptTimer();
        } else {
            self->onAttemptTimeout();
        }
    });
}

void gateway_exchange::onAttemptTimeout()
{
    if (mayTryAgain(attempt_end::failed) && m_context.dispatch.mayRepeat(m_plan.service)) {
        m_mayHaveRun = true;
        endAttempt(attempt_end::failed, "no progress");
        requestPlacement();
    }
}

} // namespace bronzechute
