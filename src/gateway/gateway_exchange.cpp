#include "gateway/gateway_exchange.h"

#include "gateway/attempt_headers.h"
#include "gateway/endpoint_call.h"
#include "gateway/failed_attempt.h"
#include "gateway/message_head.h"
#include "gateway/plan_demands.h"
#include "gateway/prompt_parts.h"
#include "gateway/response_verdict.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace bronzechute {

namespace {

// Callers abandon a stream after 2 s without an event, so the timeouts leave time to resume it at another endpoint.
constexpr std::chrono::milliseconds firstEventTimeout {1300};
constexpr std::chrono::milliseconds eventTimeout {900};
// An endpoint that has sent this many events has come beyond the beginning of its answer: a head and one event may be
// sent before it begins to write.
constexpr std::int64_t answeredEvents = 2;
// An idempotent request without a response after this multiple of its latency target is retried elsewhere.
constexpr int idempotentTargetMultiple = 2;
constexpr std::chrono::milliseconds retryAfterFailure {100};
// A request that may have crashed an endpoint is retried once the gateways have judged the crash.
constexpr std::chrono::milliseconds crashJudgementTime {200};
constexpr std::chrono::milliseconds retryAfterTrial = part_quarantine::trialInterval;
constexpr std::size_t unsentLimitBytes = std::size_t {256} * 1024;
constexpr std::size_t unsentLimitBytesWhenShort = std::size_t {16} * 1024;
constexpr std::chrono::milliseconds memoryRetryInterval {20};
// Bytes that are no answer may come without end.
constexpr std::size_t wholeBodyLimitBytes = std::size_t {8} * 1024 * 1024;

std::int64_t milliseconds(boot_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::optional<std::int64_t> lastEventIdOf(const gateway_request &request)
{
    std::int64_t id = 0;
    const auto text = findHeader(request.headers, "Last-Event-ID");
    if (text && std::from_chars(text->data(), text->data() + text->size(), id).ec == std::errc()) {
        return id;
    }
    return std::nullopt;
}

std::size_t bytesOf(const std::vector<std::string> &parts)
{
    std::size_t bytes = parts.capacity() * sizeof(std::string);
    for (const std::string &part : parts) {
        bytes += part.capacity();
    }
    return bytes;
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
                                   std::shared_ptr<caller_response> response)
    : m_context(context)
    , m_request(std::move(request))
    , m_plan(std::move(plan))
    , m_response(std::move(response))
    , m_id(findHeader(m_request.headers, context.headers.requestId).value_or(""))
    , m_deadlineTimer(context.loop)
    , m_attemptTimer(context.loop)
    , m_retryTimer(context.loop)
    , m_partBytes(bytesOf(m_plan.promptParts))
    , m_heldMemory(context.memory, nullptr)
    , m_events(m_response, lastEventIdOf(m_request))
{
}

bool gateway_exchange::streaming() const
{
    return m_plan.matched->kind == request_kind::streaming;
}

void gateway_exchange::start()
{
    startDeadline();
    countHeld();
    m_context.dispatcher.countRequest(m_plan.service);
    if (m_context.redirect.active() && !m_plan.isCallerRetry
        && m_context.endpoints.isFailing(m_plan.service, boot_clock::now())) {
        fail(statusServiceUnavailable, "left_to_others", retryAfterTime(refusal_cause::unavailable, {}));
        return;
    }
    if (!refuseIfQuarantined()) {
        requestPlacement();
    }
}

bool gateway_exchange::refuseIfQuarantined()
{
    const auto entry = m_context.guard.blocking(m_plan.promptParts);
    if (!entry) {
        return false;
    }
    refuse(*entry);
    return true;
}

void gateway_exchange::refuse(const quarantined_part &entry)
{
    const nlohmann::json body = {{"error",
                                  {{"code", "prompt_part_quarantined"},
                                   {"message", "Prompts with this part have crashed endpoints and are not run."},
                                   {"part", entry.part}}}};
    if (m_events.begun()) {
        m_response->abort();
        finishExchange("cut", 0);
    } else if (m_mayHaveRun) {
        fail(statusBadGateway, "unknown", retryAfterFailure, body.dump());
    } else {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(entry.until - boot_clock::now());
        fail(statusServiceUnavailable, "quarantined", std::max(left, retryAfterTrial), body.dump());
    }
}

void gateway_exchange::onQuarantined(const quarantined_part &entry)
{
    dropReplacement();
    if (m_events.attemptEvents() >= answeredEvents) {
        return;
    }
    const auto self = shared_from_this();
    m_mayHaveRun = true;
    abandonAttempt();
    refuse(entry);
}

void gateway_exchange::abandonAttempt()
{
    noteUnanswered(attempt_end::abandoned);
    m_context.guard.onAttemptEnd(*this);
    m_connection->cancel();
    const gateway_endpoint_ptr endpoint = std::move(m_endpoint);
    m_endpoint = nullptr;
    m_connection = nullptr;
    m_context.dispatcher.release(endpoint, tokens());
}

void gateway_exchange::requestPlacementLater()
{
    m_retryTimer.expires_after(crashJudgementTime);
    m_retryTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &code) {
        const auto self = weak.lock();
        if (!code && self != nullptr && !self->m_ended && !self->refuseIfQuarantined()) {
            self->requestPlacement();
        }
    });
}

void gateway_exchange::requestPlacement()
{
    const time_point now = boot_clock::now();
    m_queuedAt = now;
    const bool outage = !m_context.endpoints.anyUsable(m_plan.service, now);
    const waiting_request waiting = waitingRequestOf(m_plan, m_request.arrivedAt, !m_tried.empty(), outage, now);
    m_ticket = m_context.dispatcher.submit(m_plan.service, waiting, shared_from_this());
}

std::span<const std::string> gateway_exchange::tried() const
{
    return m_tried;
}

std::int64_t gateway_exchange::tokens() const
{
    return m_plan.tokens();
}

std::optional<stream_demand> gateway_exchange::demand() const
{
    return streamDemandOf(m_plan, static_cast<double>(m_events.eventsRelayed()));
}

void gateway_exchange::onPlaced(const gateway_endpoint_ptr &endpoint)
{
    m_ticket.reset();
    if (m_endpoint != nullptr) {
        startReplacement(endpoint);
        return;
    }
    if (refuseIfQuarantined()) {
        m_context.dispatcher.release(endpoint, tokens());
        return;
    }
    m_context.guard.onSend(shared_from_this());
    m_endpoint = endpoint;
    m_queueTime += boot_clock::now() - m_queuedAt;
    if (m_tried.empty()) {
        m_context.metrics.wait.observe(boot_clock::now() - m_queuedAt);
    } else {
        m_context.metrics.retries.add();
    }
    m_tried.push_back(endpoint->record.id);
    send();
}

void gateway_exchange::onRefused(refusal reason, boot_clock::duration expectedWait)
{
    m_ticket.reset();
    if (m_endpoint != nullptr) {
        return; // No replacement was found; the current attempt goes on.
    }
    if (m_events.begun()) {
        m_response->abort();
        finishExchange("cut", 0);
        return;
    }
    if (m_mayHaveRun) {
        fail(statusBadGateway, "unknown", retryAfterFailure);
        return;
    }
    if (reason == refusal::shutting_down) {
        fail(statusServiceUnavailable, nameOf(reason), retryAfterFailure);
        return;
    }
    const bool unavailable = reason == refusal::no_endpoint || reason == refusal::cannot_complete;
    const auto cause = unavailable ? refusal_cause::unavailable : refusal_cause::overloaded;
    fail(statusServiceUnavailable, nameOf(reason), retryAfterTime(cause, expectedWait));
}

std::chrono::milliseconds gateway_exchange::retryAfterTime(refusal_cause cause, boot_clock::duration expectedWait) const
{
    const time_point now = boot_clock::now();
    const auto latest = retryTimeLimit(m_plan, now);
    if (m_context.redirect.active()) {
        return m_context.redirect.retryDelay(now, latest, m_context.dispatcher.random());
    }
    return m_context.dispatcher.promiseReturn(m_plan.service, {cause, expectedWait, latest, m_plan.isCallerRetry});
}

void gateway_exchange::send()
{
    resetAttempt(boot_clock::now());
    m_connection = acquireConnection(m_context.loop, *m_endpoint);
    ++m_sentAttempts;
    startAttemptTimer();
    m_connection->start(requestHeadFor(*m_endpoint, m_attemptStartedAt), m_request.body, shared_from_this());
}

void gateway_exchange::resetAttempt(time_point startedAt)
{
    m_attemptStartedAt = startedAt;
    m_lastEventAt = startedAt;
    m_events.startAttempt();
    std::string().swap(m_body);
    countAnswer();
    m_answerPaused = false;
    m_relayingEvents = false;
    m_endpointLost = false;
    m_attemptStatus = 0;
}

std::string gateway_exchange::requestHeadFor(const gateway_endpoint &endpoint, time_point now) const
{
    const header_list headers =
        attemptHeaders(m_request, m_plan, m_context.headers, endpoint.record.id, m_events.resumeAfter(), now);
    return formatRequestHead(m_request.method, m_request.target, headers);
}

void gateway_exchange::startReplacement(const gateway_endpoint_ptr &endpoint)
{
    if (m_context.guard.blocking(m_plan.promptParts) || !canRetry(attempt_outcome::failed)
        || !m_context.dispatcher.tryConsumeRetry(m_plan.service)) {
        m_context.dispatcher.release(endpoint, tokens());
        return;
    }
    m_context.metrics.retries.add();
    m_tried.push_back(endpoint->record.id);
    ++m_sentAttempts;
    const time_point now = boot_clock::now();
    logLine(log_level::info, "gateway", "silent attempt gets a replacement",
            {{"request_id", m_id},
             {"endpoint", m_endpoint->record.id},
             {"replacement", endpoint->record.id},
             {"events", m_events.attemptEvents()},
             {"silent_ms", milliseconds(now - m_lastEventAt)}});
    m_replacement = std::make_shared<replacement_attempt>(m_context.loop, endpoint, weak_from_this(), now);
    m_replacement->start(requestHeadFor(*endpoint, now), m_request.body);
}

void gateway_exchange::adoptReplacement()
{
    const auto replacement = std::move(m_replacement);
    m_replacement = nullptr;
    m_endpoint = replacement->endpoint();
    m_connection = replacement->connection();
    resetAttempt(replacement->startedAt());
    m_connection->setObserver(shared_from_this());
    m_context.guard.onSend(shared_from_this());
    startAttemptTimer();
}

void gateway_exchange::dropReplacement()
{
    leaveQueue();
    if (m_replacement == nullptr) {
        return;
    }
    const auto replacement = std::move(m_replacement);
    m_replacement = nullptr;
    logLine(log_level::info, "gateway", "replacement is not needed",
            {{"request_id", m_id}, {"replacement", replacement->endpoint()->record.id}});
    m_context.guard.onUnanswered(*replacement->endpoint(), {m_plan.promptParts, false}, attempt_end::abandoned);
    replacement->connection()->cancel();
    m_context.dispatcher.release(replacement->endpoint(), tokens());
}

void gateway_exchange::onReplacementHead(response_head head)
{
    const auto replacement = m_replacement;
    const endpoint_connection &connection = *replacement->connection();
    recordStatement(head, *replacement->endpoint(), connection);
    const bool refused = isRefusal(head, m_context.headers);
    if (refused) {
        recordGroupFault(head, *replacement->endpoint());
    }
    if (!isForThisRequest(head, connection) || refused || !canReplace(head)) {
        const auto end = refused ? attempt_outcome::refused : attempt_outcome::failed;
        endLostReplacement(end, "status " + std::to_string(head.status), head.status);
        return;
    }
    m_mayHaveRun = true;
    noteUnanswered(attempt_end::by_timeout);
    endAttempt(attempt_outcome::failed, "no progress");
    adoptReplacement();
    m_attemptStatus = head.status;
    takeHead(std::move(head));
}

bool gateway_exchange::canReplace(const response_head &head) const
{
    if (m_events.begun() && head.status != m_events.head().status) {
        return false;
    }
    if (isSuccessStatus(head.status)) {
        return isAcceptableSuccess(head, m_context.headers);
    }
    return !streaming() && head.status < statusInternalServerError;
}

void gateway_exchange::onReplacementFailure(const exchange_failure &failure)
{
    const std::string cause = failure.step + ": " + failure.cause;
    const gateway_endpoint &endpoint = *m_replacement->endpoint();
    if (failure.sent) {
        m_mayHaveRun = true;
        m_context.guard.onUnanswered(endpoint, {m_plan.promptParts, false}, attempt_end::by_endpoint);
        endLostReplacement(attempt_outcome::failed, cause, 0);
        return;
    }
    --m_sentAttempts;
    if (failure.refused) {
        m_context.guard.onRefusedConnection(endpoint);
    }
    endLostReplacement(attempt_outcome::not_sent, cause, 0);
}

void gateway_exchange::endLostReplacement(attempt_outcome end, const std::string &cause, int status)
{
    const auto replacement = std::move(m_replacement);
    m_replacement = nullptr;
    replacement->connection()->cancel();
    recordFailedAttempt(m_context,
                        {replacement->endpoint(), m_id, m_plan.promptParts, m_tried.size(), end, cause, status, 0,
                         replacement->startedAt()});
    m_context.dispatcher.release(replacement->endpoint(), tokens());
}

void gateway_exchange::onHead(response_head head)
{
    m_attemptStatus = head.status;
    recordStatement(head, *m_endpoint, *m_connection);
    if (!isForThisRequest(head, *m_connection)) {
        retryOrFail(attempt_outcome::failed, "response to another request");
        return;
    }
    takeHead(std::move(head));
}

void gateway_exchange::takeHead(response_head head)
{
    if (isRefusal(head, m_context.headers)) {
        recordGroupFault(head, *m_endpoint);
        retryOrFail(attempt_outcome::refused, "status " + std::to_string(head.status));
        return;
    }
    const bool success = isSuccessStatus(head.status);
    if (success && !isAcceptableSuccess(head, m_context.headers)) {
        retryOrFail(attempt_outcome::failed, "response has no signature or has a content encoding");
        return;
    }
    const bool failed = head.status >= statusInternalServerError && m_plan.matched->kind == request_kind::idempotent;
    if (failed && mayTryAgain(attempt_outcome::failed)) {
        m_mayHaveRun = true;
        endAttempt(attempt_outcome::failed, "status " + std::to_string(head.status));
        tryAgain();
        return;
    }
    if (m_events.begun() && head.status != m_events.head().status) {
        retryOrFail(attempt_outcome::failed, "status " + std::to_string(head.status) + " for a resumed stream");
        return;
    }
    if (!m_plan.matched->repeatable() && readsAsNotRun(head.status)) {
        retryOrFail(attempt_outcome::failed,
                    "status " + std::to_string(head.status) + " without the statement that it has not run");
        return;
    }
    removeHeader(head.headers, "Content-Length");
    m_mayHaveRun = true;
    m_relayingEvents = streaming() && success;
    if (m_relayingEvents) {
        m_events.setHead(head);
    } else {
        m_wholeHead = std::move(head);
    }
}

void gateway_exchange::recordGroupFault(const response_head &head, gateway_endpoint &endpoint)
{
    const auto fault = findHeader(head.headers, m_context.headers.faultEndpoint);
    if (fault && *fault != endpoint.record.id) {
        m_context.endpoints.recordGroupRefusal(endpoint, boot_clock::now());
    }
}

bool gateway_exchange::isForThisRequest(const response_head &head, const endpoint_connection &connection) const
{
    return isResponseTo(head, m_id, connection.reused(), m_context.headers);
}

void gateway_exchange::recordStatement(const response_head &head, gateway_endpoint &endpoint,
                                       const endpoint_connection &connection)
{
    if (head.status == statusMisdirected) {
        return; // Sent by another run of the endpoint, or by another endpoint at its address.
    }
    endpoint_statement statement = readStatement(head, m_context.headers);
    if (!isForThisRequest(head, connection)) {
        statement.pause.reset(); // It began when the earlier request was answered.
    }
    m_context.endpoints.recordStatement(endpoint, statement, boot_clock::now(), m_context.dispatcher.random());
}

bool gateway_exchange::maySend() const
{
    return endpoint_table::wantsRequests(*m_endpoint, boot_clock::now());
}

void gateway_exchange::onBody(std::string_view bytes)
{
    if (m_relayingEvents) {
        relayEvents(bytes);
    } else if (m_body.size() + bytes.size() <= wholeBodyLimitBytes) {
        m_body.append(bytes);
    } else {
        retryOrFail(attempt_outcome::failed, "response body exceeds the size limit");
        return;
    }
    countAnswer();
}

void gateway_exchange::countHeld()
{
    const std::size_t held = m_partBytes + m_body.capacity() + m_events.pendingBytes();
    if (m_heldMemory.isOutdated(held)) {
        m_heldMemory.resize(held, boot_clock::now());
    }
}

void gateway_exchange::countAnswer()
{
    countHeld();
    m_answerPaused = !m_relayingEvents && m_context.memory.isExhausted();
    if (m_answerPaused) {
        resumeLater();
    }
}

void gateway_exchange::resumeLater()
{
    m_retryTimer.expires_after(memoryRetryInterval);
    m_retryTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &code) {
        const auto self = weak.lock();
        if (code || self == nullptr || self->m_connection == nullptr || !self->m_answerPaused) {
            return;
        }
        if (self->m_context.memory.isExhausted()) {
            self->resumeLater();
            return;
        }
        self->m_answerPaused = false;
        self->m_connection->resume();
    });
}

void gateway_exchange::relayEvents(std::string_view bytes)
{
    const time_point now = boot_clock::now();
    for (const raw_event &event : m_events.parse(bytes)) {
        if (const char *fault = m_events.relay(event)) {
            retryOrFail(attempt_outcome::failed, fault);
            return;
        }
        if (!event.isComment()) {
            recordEvent(now);
        }
    }
    if (const char *fault = m_events.faultOfPending()) {
        retryOrFail(attempt_outcome::failed, fault);
    }
}

void gateway_exchange::recordEvent(time_point now)
{
    dropReplacement(); // The endpoint is not silent any more.
    if (!m_firstByteAt) {
        recordFirstByte();
    }
    if (m_events.attemptEvents() == answeredEvents) {
        m_context.guard.onAnswerBegun(m_plan.promptParts);
    }
    const bool follows = m_events.eventsRelayed() > 1;
    m_context.endpoints.recordEvent(*m_endpoint, follows ? std::optional(now - m_lastEventAt) : std::nullopt, now);
    if (follows) {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    m_lastEventAt = now;
}

void gateway_exchange::onComplete()
{
    if (m_relayingEvents) {
        completeStream();
    } else {
        completeWhole();
    }
}

void gateway_exchange::completeStream()
{
    if (const char *fault = m_events.completeAttempt()) {
        noteUnanswered(attempt_end::by_endpoint);
        retryOrFail(attempt_outcome::failed, fault);
        return;
    }
    if (!m_firstByteAt) {
        recordFirstByte();
    }
    m_context.guard.onAnswered(m_plan.promptParts);
    endAttempt(attempt_outcome::answered, {});
    m_response->finish();
    finishExchange("answered", m_events.head().status);
}

void gateway_exchange::completeWhole()
{
    if (m_wholeHead.status < statusInternalServerError) {
        m_context.guard.onAnswered(m_plan.promptParts);
    }
    endAttempt(attempt_outcome::answered, {});
    recordFirstByte();
    m_response->respond(m_wholeHead, m_body);
    finishExchange(m_wholeHead.status >= statusInternalServerError ? "endpoint_error" : "answered", m_wholeHead.status);
}

void gateway_exchange::onFailure(const exchange_failure &failure)
{
    const std::string cause = failure.step + ": " + failure.cause;
    if (!failure.sent) {
        --m_sentAttempts;
        if (failure.refused) {
            m_context.guard.onRefusedConnection(*m_endpoint);
        }
        retryOrFail(attempt_outcome::not_sent, cause);
        return;
    }
    noteUnanswered(attempt_end::by_endpoint);
    retryOrFail(attempt_outcome::failed, cause);
}

void gateway_exchange::retryOrFail(attempt_outcome end, const std::string &cause)
{
    if (end == attempt_outcome::failed) {
        m_mayHaveRun = true;
    }
    const bool again = mayTryAgain(end);
    const bool awaitsJudgement = end == attempt_outcome::failed && mayHaveCrashed();
    endAttempt(end, cause);
    if (again && awaitsJudgement && m_replacement == nullptr) {
        requestPlacementLater();
        return;
    }
    if (again) {
        tryAgain();
        return;
    }
    if (m_events.begun()) {
        m_response->abort();
        finishExchange("cut", 0);
    } else if (m_mayHaveRun) {
        fail(statusBadGateway, "unknown", retryAfterFailure);
    } else {
        const auto wait = m_context.dispatcher.knownWait(m_plan.service, boot_clock::now());
        fail(statusServiceUnavailable, "not_run", retryAfterTime(refusal_cause::unavailable, wait));
    }
}

bool gateway_exchange::mayHaveCrashed() const
{
    if (m_events.attemptEvents() < answeredEvents) {
        return !m_context.guard.areAnswered(m_plan.promptParts);
    }
    return m_endpointLost && !m_context.guard.areWhollyAnswered(m_plan.promptParts);
}

void gateway_exchange::noteUnanswered(attempt_end end)
{
    if (m_endpoint == nullptr) {
        return;
    }
    m_endpointLost = end == attempt_end::by_endpoint;
    const bool begun = isSuccessStatus(m_attemptStatus);
    const bool writing = begun && m_events.attemptEvents() >= answeredEvents;
    m_context.guard.onUnanswered(*m_endpoint, {m_plan.promptParts, begun, writing}, end);
}

bool gateway_exchange::mayTryAgain(attempt_outcome end)
{
    if (m_replacement != nullptr) {
        return true;
    }
    return canRetry(end) && (end == attempt_outcome::not_sent || m_context.dispatcher.tryConsumeRetry(m_plan.service));
}

void gateway_exchange::tryAgain()
{
    if (m_replacement != nullptr) {
        adoptReplacement();
    } else {
        requestPlacement();
    }
}

bool gateway_exchange::canRetry(attempt_outcome end) const
{
    if (boot_clock::now() >= m_plan.deadline || m_sentAttempts >= m_plan.matched->maxAttempts) {
        return false;
    }
    return end == attempt_outcome::failed ? m_plan.matched->repeatable() : true;
}

void gateway_exchange::endAttempt(attempt_outcome end, const std::string &cause)
{
    leaveQueue(); // It may wait for a replacement of the attempt.
    m_attemptTimer.cancel();
    const gateway_endpoint_ptr endpoint = std::move(m_endpoint);
    const std::shared_ptr<endpoint_connection> channel = std::move(m_connection);
    m_endpoint = nullptr;
    m_connection = nullptr;
    m_context.guard.onAttemptEnd(*this);
    if (endpoint == nullptr) {
        return;
    }
    const time_point now = boot_clock::now();
    if (end == attempt_outcome::answered) {
        endpoint->consecutiveFailures = 0;
        m_context.endpoints.recordAnswer(*endpoint, now);
        releaseConnection(*endpoint, channel);
    } else {
        channel->cancel();
        const std::size_t number = m_tried.size() - (m_replacement == nullptr ? 0 : 1);
        recordFailedAttempt(m_context,
                            {endpoint, m_id, m_plan.promptParts, number, end, cause, m_attemptStatus,
                             m_events.attemptEvents(), m_attemptStartedAt});
    }
    m_context.dispatcher.release(endpoint, tokens());
}

void gateway_exchange::fail(int status, const std::string &outcome, std::chrono::milliseconds retryAfter,
                            const std::string &body)
{
    response_head head {status, reasonOf(status), {{"Retry-After", secondsText(retryAfter)}}};
    if (!m_id.empty()) {
        head.headers.emplace_back(m_context.headers.requestId, m_id);
    }
    if (!body.empty()) {
        head.headers.emplace_back("Content-Type", "application/json");
    }
    m_response->respond(head, body);
    finishExchange(outcome, status);
}

void gateway_exchange::finishExchange(const std::string &outcome, int status)
{
    m_ended = true;
    dropReplacement();
    m_deadlineTimer.cancel();
    m_attemptTimer.cancel();
    m_retryTimer.cancel();
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
             {"returned", m_plan.isCallerRetry},
             {"parts", loggedParts(m_plan.promptParts)},
             {"parts_total", m_plan.promptParts.size()},
             {"endpoints", m_tried},
             {"events", m_events.eventsRelayed()},
             {"first_byte_ms", m_firstByteAt ? milliseconds(*m_firstByteAt - m_request.arrivedAt) : -1},
             {"wait_ms", milliseconds(m_queueTime)},
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
    const std::size_t limit = m_context.memory.isShort() ? unsentLimitBytesWhenShort : unsentLimitBytes;
    return !m_answerPaused && m_response->unsentBytes() < limit;
}

void gateway_exchange::onCallerWritable()
{
    if (m_connection != nullptr && wantsMore()) {
        m_connection->resume();
    }
}

void gateway_exchange::onCallerDisconnected()
{
    if (m_ended) {
        return;
    }
    const auto self = shared_from_this();
    leaveQueue();
    if (m_endpoint != nullptr) {
        abandonAttempt();
    }
    finishExchange("caller_gone", 0);
}

void gateway_exchange::onShutdown()
{
    if (m_ended) {
        return;
    }
    const auto self = shared_from_this();
    leaveQueue();
    if (m_endpoint != nullptr) {
        m_mayHaveRun = true;
        abandonAttempt();
    }
    if (m_events.begun()) {
        m_response->abort();
        finishExchange("shutdown", 0);
    } else {
        fail(m_mayHaveRun ? statusBadGateway : statusServiceUnavailable, "shutdown", retryAfterFailure);
    }
}

void gateway_exchange::leaveQueue()
{
    if (m_ticket) {
        m_context.dispatcher.withdraw(m_plan.service, *m_ticket);
        m_ticket.reset();
    }
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
    leaveQueue();
    m_mayHaveRun = m_mayHaveRun || m_endpoint != nullptr;
    noteUnanswered(attempt_end::by_timeout);
    endAttempt(attempt_outcome::failed, "deadline");
    if (m_events.begun()) {
        m_response->abort();
        finishExchange("deadline", 0);
    } else {
        fail(m_mayHaveRun ? statusGatewayTimeout : statusServiceUnavailable, "deadline", retryAfterFailure);
    }
}

std::chrono::milliseconds gateway_exchange::progressLimit() const
{
    if (streaming() && m_plan.matched->resumable) {
        return m_relayingEvents && m_events.eventsRelayed() > 0 ? eventTimeout : firstEventTimeout;
    }
    if (m_plan.matched->kind == request_kind::idempotent) {
        return m_plan.matched->latencyTarget * idempotentTargetMultiple;
    }
    return std::chrono::milliseconds(0);
}

void gateway_exchange::startAttemptTimer()
{
    const std::chrono::milliseconds limit = progressLimit();
    if (limit.count() == 0 || m_endpoint == nullptr) {
        return;
    }
    // Events do not restart the timer, as that would cost a system call each; it is re-armed when it expires.
    const boot_clock::duration left = m_lastEventAt + limit - boot_clock::now();
    m_attemptTimer.expires_after(left > boot_clock::duration(0) ? left : limit);
    m_attemptTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &code) {
        const auto self = weak.lock();
        if (code || self == nullptr || self->m_ended || self->m_endpoint == nullptr) {
            return;
        }
        if (boot_clock::now() >= self->m_lastEventAt + self->progressLimit()) {
            self->onAttemptTimeout();
        }
        if (!self->m_ended) {
            self->startAttemptTimer();
        }
    });
}

void gateway_exchange::onAttemptTimeout()
{
    m_endpoint->suspectUntil = std::max(m_endpoint->suspectUntil, boot_clock::now() + suspectPeriod);
    const bool seeks = m_ticket || m_replacement != nullptr;
    if (!seeks && canRetry(attempt_outcome::failed) && m_context.dispatcher.hasUntriedEndpoint(m_plan.service, *this)
        && m_context.dispatcher.hasRetry(m_plan.service)) {
        requestPlacement();
    }
}

} // namespace bronzechute
