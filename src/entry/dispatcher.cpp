#include "entry/dispatcher.h"

#include "entry/relay_stream.h"
#include "http/http_status.h"
#include "observe/log.h"
#include "observe/log_tracer.h"
#include "request/window_size.h"

#include <algorithm>
#include <mutex>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds attemptPollInterval {100};
constexpr std::chrono::milliseconds cancelReplyTimeout {1000};
constexpr std::size_t maxBufferedAnswerBytes = std::size_t {4} * 1024 * 1024;
constexpr std::size_t readBufferBytes = std::size_t {16} * 1024;
constexpr std::string_view reservedHeaderPrefix = "X-Bronzechute-";
constexpr std::size_t maxAttempts = 4;

/** Minimum time left to the deadline for a continuation, because the new endpoint has to process the prompt again. */
constexpr std::chrono::milliseconds minContinuationTime {1000};

api_error unknownOutcome(int status, const std::string &code, const std::string &message)
{
    return {status, code, message, {}, request_outcome::unknown, {}};
}

api_error notRun(const std::string &code, const std::string &message, std::chrono::milliseconds retryAfter)
{
    return {503, code, message, {}, request_outcome::not_run, retryAfter};
}

/** The read ran, but its answer is older than a state that the caller has already seen. */
const api_error staleRead {503,
                           "stale_read",
                           "no reachable endpoint has the state that this account has already seen",
                           "X-Bronzechute-Session",
                           request_outcome::unknown,
                           std::chrono::seconds(1)};

std::chrono::milliseconds remaining(const request_context &context)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - boot_clock::now());
}

/**
 * @returns whether the answer can be continued as an event stream. stream_continuation would only delay an answer that
 *          is compressed or consists of no events.
 */
bool isEventStream(const response_head_frame &head)
{
    return head.status == statusOk
        && findHeader(head.headers, "Content-Type").value_or("").starts_with("text/event-stream")
        && !findHeader(head.headers, "Content-Encoding");
}

} // namespace

dispatcher::dispatcher(endpoint_directory &directory, pending_table &table, const configuration_holder &configuration,
                       entry_metrics &metrics)
    : m_directory(directory), m_table(table), m_configuration(configuration), m_metrics(metrics)
{
}

http_reply dispatcher::run(request_context context)
{
    m_table.add(context.pending);
    {
        const std::scoped_lock lock(m_budgetMutex);
        m_budget.onRequest(boot_clock::now());
    }
    api_error failure = notRun("no_endpoint", "no endpoint can take the request now",
                               m_directory.retryAfter(context.request, boot_clock::now()));
    bool mayHaveRun = false;
    while (context.tried.size() < maxAttempts) {
        if (!context.tried.empty() && !takeRetry(context)) {
            break;
        }
        const link_ptr connection = m_directory.choose(context.request, context.tried, boot_clock::now());
        if (connection == nullptr) {
            break;
        }
        const attempt_result result = tryEndpoint(context, connection);
        if (result.end == attempt_end::answered) {
            return relay(std::move(context));
        }
        // Once an attempt may have run, the outcome of the request stays unknown, whatever a later attempt reports.
        mayHaveRun = mayHaveRun || result.failure.outcome == request_outcome::unknown;
        failure = result.failure;
        if (mayHaveRun) {
            failure.outcome = request_outcome::unknown;
        }
        if (result.end == attempt_end::not_retryable) {
            break;
        }
    }
    return reportFailure(context, failure);
}

bool dispatcher::takeRetry(const request_context &context)
{
    if (remaining(context) <= std::chrono::milliseconds(0) || context.clientDisconnected()) {
        return false;
    }
    const std::scoped_lock lock(m_budgetMutex);
    if (!m_budget.tryTake(boot_clock::now())) {
        return false;
    }
    m_metrics.retries.add();
    return true;
}

submit_frame dispatcher::makeSubmit(const request_context &context, const link_ptr &connection) const
{
    const caller_request &request = context.request;
    submit_frame submit;
    submit.revision = m_configuration.current()->revision;
    submit.account = request.account;
    submit.accountWeight = request.accountWeight;
    submit.priority = request.priority;
    submit.kind = request.kind;
    submit.method = request.method;
    submit.path = request.path;
    submit.headers = request.headers;
    submit.body = request.body;
    submit.mayRepeat = request.mayRepeat;
    submit.deadlineMs = remaining(context).count();
    submit.latestStartMs = connection->peerClockMs() + std::min(remaining(context), request.queueTimeout).count();
    submit.windowBytes = answerWindowBytes;
    submit.traceparent = traceparentOf(*context.attemptSpan);
    return submit;
}

dispatcher::attempt_result dispatcher::tryEndpoint(request_context &context, const link_ptr &connection)
{
    const std::string endpoint = connection->peer().node;
    context.tried.push_back(endpoint);
    context.attemptAt = boot_clock::now();
    context.attemptSpan = startSpan(context.span->tracer(), "entry.attempt", traceparentOf(*context.span));
    context.attemptSpan->SetTag("peer", endpoint);
    if (!context.pending->beginAttempt(makeSubmit(context, connection), connection)) {
        m_directory.onFailed(endpoint, boot_clock::now());
        return {attempt_end::try_next,
                notRun("endpoint_unreachable", "the connection to the endpoint is down", std::chrono::seconds(1))};
    }
    return awaitHead(context);
}

dispatcher::attempt_result dispatcher::awaitHead(request_context &context)
{
    const std::chrono::milliseconds limit = context.request.firstTokenTimeout;
    const bool limited = limit.count() > 0;
    while (true) {
        switch (context.pending->wait(limited ? std::min(attemptPollInterval, limit) : attemptPollInterval, limited)) {
        case attempt_progress::head:
            return {attempt_end::answered, {}};
        case attempt_progress::refused:
            return handleRefused(context);
        case attempt_progress::failed:
            return handleFailed(context);
        case attempt_progress::lost:
            return handleLost(context);
        case attempt_progress::waiting:
            break;
        }
        if (remaining(context) <= std::chrono::milliseconds(0)) {
            return cancelAndFail(context, 504, "deadline_exceeded", "no answer within the deadline");
        }
        if (context.clientDisconnected()) {
            return cancelAndFail(context, 499, "client_left", "the client closed the connection");
        }
        if (limited && boot_clock::now() - context.attemptAt >= limit) {
            return handleFirstTokenTimeout(context);
        }
    }
}

dispatcher::attempt_result dispatcher::handleRefused(request_context &context)
{
    const refused_frame refusal = context.pending->refusal();
    m_directory.onNeutral(context.pending->endpoint());
    std::chrono::milliseconds retryAfter(refusal.retryAfterMs);
    return {attempt_end::try_next,
            notRun(std::string(toString(refusal.reason)), "the endpoint refused the request: " + refusal.detail,
                   retryAfter)};
}

dispatcher::attempt_result dispatcher::handleFailed(request_context &context)
{
    const failed_frame failure = context.pending->failure();
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    const bool repeat = failure.outcome == request_outcome::not_run || context.request.mayRepeat;
    return {repeat ? attempt_end::try_next : attempt_end::not_retryable,
            unknownOutcome(502, "endpoint_failed", failure.step + ": " + failure.detail)};
}

dispatcher::attempt_result dispatcher::handleLost(request_context &context)
{
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    return {context.request.mayRepeat ? attempt_end::try_next : attempt_end::not_retryable,
            unknownOutcome(502, "endpoint_lost", "the endpoint process is unreachable")};
}

dispatcher::attempt_result dispatcher::cancelAndFail(request_context &context, int status, const std::string &code,
                                                     const std::string &message)
{
    context.pending->cancel();
    const bool provedNotStarted = context.pending->waitNotStarted(cancelReplyTimeout);
    m_directory.onNeutral(context.pending->endpoint());
    api_error failure = unknownOutcome(status, code, message);
    failure.outcome = provedNotStarted ? request_outcome::not_run : request_outcome::unknown;
    return {attempt_end::not_retryable, failure};
}

dispatcher::attempt_result dispatcher::handleFirstTokenTimeout(request_context &context)
{
    context.pending->cancel();
    const bool provedNotStarted = context.pending->waitNotStarted(cancelReplyTimeout);
    const time_point now = boot_clock::now();
    const auto retryAfter =
        std::max<std::chrono::milliseconds>(m_directory.retryAfter(context.request, now), std::chrono::seconds(1));
    const std::string message = "no first token within first_token_ms of the traffic class";
    if (provedNotStarted) {
        // The attempt was still queued at the endpoint that was selected as the best. All endpoints are overloaded
        // then, and another attempt would only add load.
        m_directory.onNeutral(context.pending->endpoint());
        return {attempt_end::not_retryable, notRun("first_token_timeout", message, retryAfter)};
    }
    m_directory.onFailed(context.pending->endpoint(), now);
    return {context.request.mayRepeat ? attempt_end::try_next : attempt_end::not_retryable,
            {504, "first_token_timeout", message, {}, request_outcome::unknown, retryAfter}};
}

http_reply dispatcher::relay(request_context context)
{
    const response_head_frame head = context.pending->head();
    const std::string id = context.pending->id().toString();
    context.headAt = boot_clock::now();
    m_metrics.firstByte.observe(context.headAt - context.arrivedAt);
    http_reply reply;
    reply.status = head.status;
    reply.headers = head.headers;
    // Only the entry may set these headers. One from a service, for example from another deployment behind it, would
    // be taken for the outcome of this request and could release the idempotency key of a request that ran.
    std::erase_if(reply.headers, [](const auto &header) {
        return headerNamesEqual(header.first.substr(0, reservedHeaderPrefix.size()), reservedHeaderPrefix);
    });
    reply.headers.emplace_back("X-Request-Id", id);
    if (!context.request.streaming) {
        const auto end = bufferAnswer(context, reply.body);
        if (end == relay_end::delivered) {
            const bool current = addSessionHeader(context, reply);
            finishRelay(context, *end);
            if (!current) {
                return staleRead.toReply(id);
            }
            reply.headers.emplace_back("X-Bronzechute-Outcome", std::string(toString(request_outcome::answered)));
            return reply;
        }
        if (end) {
            context.pending->cancel();
            const std::string detail = context.pending->failure().detail;
            finishRelay(context, *end);
            return unknownOutcome(end == relay_end::deadline ? 504 : 502, "incomplete_answer",
                                  "the answer ended early: " + detail)
                .toReply(id);
        }
    }
    relay_stream::continue_function continuation;
    if (context.request.streaming && context.request.resumeElsewhere && isEventStream(head)) {
        continuation = [this](request_context &broken, std::string body) {
            return continueOnOtherEndpoint(broken, std::move(body));
        };
    }
    std::string buffered;
    buffered.swap(reply.body);
    reply.stream = std::make_shared<relay_stream>(
        std::move(context), std::move(buffered),
        [this](request_context &finished, relay_end end) { finishRelay(finished, end); }, std::move(continuation));
    return reply;
}

bool dispatcher::continueOnOtherEndpoint(request_context &context, std::string body)
{
    // The previous endpoint process may still be running the request; if it receives the cancel, it stops that work.
    context.pending->cancel();
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    // Attempts that fail below are reported to the directory where they fail; one that is relayed is reported at its
    // end.
    context.attemptReported = true;
    context.request.body = std::move(body);
    while (context.tried.size() < maxAttempts && remaining(context) > minContinuationTime && takeRetry(context)) {
        const link_ptr connection = m_directory.choose(context.request, context.tried, boot_clock::now());
        if (connection == nullptr) {
            return false;
        }
        const attempt_result result = tryEndpoint(context, connection);
        if (result.end == attempt_end::not_retryable) {
            return false;
        }
        if (result.end == attempt_end::try_next) {
            continue;
        }
        const response_head_frame head = context.pending->head();
        if (isEventStream(head)) {
            context.attemptReported = false;
            context.headAt = boot_clock::now();
            m_metrics.continuedStreams.add();
            return true;
        }
        // A status below 500 means that the engine rejects the request, and any other engine would reject it as well.
        context.pending->cancel();
        m_directory.onNeutral(context.pending->endpoint());
        if (head.status < statusInternalServerError) {
            return false;
        }
    }
    return false;
}

bool dispatcher::addSessionHeader(const request_context &context, http_reply &reply)
{
    const caller_request &request = context.request;
    if (!request.readYourWrites) {
        return true;
    }
    const std::string version = findHeader(reply.headers, "X-Version").value_or("");
    const auto answerSession = read_session::parse(context.pending->endpoint() + ";v=" + version);
    const bool isRead = request.mayRepeat;
    if (isRead && request.session && (!answerSession || answerSession->version < request.session->version)) {
        return false;
    }
    if (answerSession) {
        reply.headers.emplace_back("X-Bronzechute-Session", answerSession->toHeader());
    }
    return true;
}

std::optional<relay_end> dispatcher::bufferAnswer(request_context &context, std::string &body)
{
    std::string buffer(readBufferBytes, '\0');
    while (!context.pending->complete()) {
        if (body.size() >= maxBufferedAnswerBytes) {
            return std::nullopt;
        }
        body.append(buffer, 0, context.pending->read(buffer.data(), buffer.size(), attemptPollInterval));
        if (context.clientDisconnected()) {
            return relay_end::client_disconnected;
        }
        if (context.pending->broken()) {
            return relay_end::endpoint_failed;
        }
        if (remaining(context) <= std::chrono::milliseconds(0)) {
            return relay_end::deadline;
        }
    }
    return relay_end::delivered;
}

void dispatcher::finishRelay(request_context &context, relay_end end)
{
    if (!context.attemptReported) {
        reportAttemptEnd(context, end);
    }
    if (end != relay_end::delivered) {
        m_metrics.cutStreams.add();
    }
    finish(context, end == relay_end::delivered ? request_outcome::answered : request_outcome::unknown);
}

void dispatcher::reportAttemptEnd(const request_context &context, relay_end end)
{
    const time_point now = boot_clock::now();
    const std::string endpoint = context.pending->endpoint();
    switch (end) {
    case relay_end::delivered:
        // The time to the head is used because the total time depends on the length of the answer, which the caller
        // chooses, and is not comparable between endpoints.
        m_directory.onAnswered(endpoint, context.headAt - context.attemptAt, now);
        break;
    case relay_end::endpoint_failed:
    case relay_end::deadline:
        m_directory.onFailed(endpoint, now);
        break;
    case relay_end::client_disconnected:
        m_directory.onNeutral(endpoint);
        break;
    }
}

void dispatcher::finish(request_context &context, request_outcome outcome)
{
    const time_point now = boot_clock::now();
    m_table.remove(context.pending->id());
    if (context.attemptSpan != nullptr) {
        context.attemptSpan->Finish();
    }
    context.span->SetTag("outcome", std::string(toString(outcome)));
    context.span->SetTag("request_id", context.pending->id().toString());
    context.span->Finish();
    m_metrics.count(outcome);
    m_metrics.duration.observe(now - context.arrivedAt);
    logLine(log_level::info, "request", "request ended",
            {{"request_id", context.pending->id().toString()},
             {"trace_id", context.span->context().ToTraceID()},
             {"account", context.request.account},
             {"class", context.request.className},
             {"outcome", toString(outcome)},
             {"endpoint", context.pending->endpoint()},
             {"attempts", context.tried.size()},
             {"duration_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - context.arrivedAt).count()}});
}

http_reply dispatcher::reportFailure(request_context &context, const api_error &failure)
{
    finish(context, failure.outcome);
    return failure.toReply(context.pending->id().toString());
}

} // namespace bronzechute
