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

constexpr std::chrono::milliseconds waitInterval {100};
constexpr std::chrono::milliseconds cancelPatience {1000};
constexpr std::size_t collectLimit = std::size_t {4} * 1024 * 1024;
constexpr std::size_t readBytes = std::size_t {16} * 1024;
constexpr std::string_view ownHeaderPrefix = "X-Bronzechute-";
constexpr std::size_t maxAttempts = 4;

/** Less than this before the deadline, a new endpoint would hardly read the prompt again. */
constexpr std::chrono::milliseconds leastContinuationTime {1000};

api_error unknownOutcome(int status, const std::string &code, const std::string &message)
{
    return {status, code, message, {}, request_outcome::unknown, {}};
}

api_error notRun(const std::string &code, const std::string &message, std::chrono::milliseconds retryAfter)
{
    return {503, code, message, {}, request_outcome::not_run, retryAfter};
}

/** The read ran, but showing its answer would take back what the caller has seen. */
const api_error staleRead {503,
                           "stale_read",
                           "no endpoint in reach shows the state that this account has already seen",
                           "X-Bronzechute-Session",
                           request_outcome::unknown,
                           std::chrono::seconds(1)};

std::chrono::milliseconds remaining(const request_context &context)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - boot_clock::now());
}

/** Bytes that are compressed or no events would be held back until the continuation gives up on them. */
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
        if (!context.tried.empty() && !mayRetry(context)) {
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
        // An attempt that may have run stays in the final outcome, whatever a later endpoint says of its own attempt.
        mayHaveRun = mayHaveRun || result.failure.outcome == request_outcome::unknown;
        failure = result.failure;
        if (mayHaveRun) {
            failure.outcome = request_outcome::unknown;
        }
        if (result.end == attempt_end::settled) {
            break;
        }
    }
    return reportFailure(context, failure);
}

bool dispatcher::mayRetry(const request_context &context)
{
    if (remaining(context) <= std::chrono::milliseconds(0) || context.clientLeft()) {
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
    submit.accountShare = request.accountShare;
    submit.priority = request.priority;
    submit.kind = request.kind;
    submit.method = request.method;
    submit.path = request.path;
    submit.headers = request.headers;
    submit.body = request.body;
    submit.mayRepeat = request.mayRepeat;
    submit.deadlineMs = remaining(context).count();
    submit.startBeforeMs = connection->peerClockMs() + std::min(remaining(context), request.startBudget).count();
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
    const std::chrono::milliseconds limit = context.request.firstTokenLimit;
    const bool limited = limit.count() > 0;
    while (true) {
        switch (context.pending->wait(limited ? std::min(waitInterval, limit) : waitInterval, limited)) {
        case attempt_progress::head:
            return {attempt_end::answered, {}};
        case attempt_progress::refused:
            return settleRefused(context);
        case attempt_progress::failed:
            return settleFailed(context);
        case attempt_progress::lost:
            return settleLost(context);
        case attempt_progress::waiting:
            break;
        }
        if (remaining(context) <= std::chrono::milliseconds(0)) {
            return settleCancelled(context, 504, "deadline_exceeded", "no answer within the deadline");
        }
        if (context.clientLeft()) {
            return settleCancelled(context, 499, "client_left", "the client closed the connection");
        }
        if (limited && boot_clock::now() - context.attemptAt >= limit) {
            return settleLateFirstToken(context);
        }
    }
}

dispatcher::attempt_result dispatcher::settleRefused(request_context &context)
{
    const refused_frame refusal = context.pending->refusal();
    m_directory.onNeutral(context.pending->endpoint());
    std::chrono::milliseconds retryAfter(refusal.retryAfterMs);
    return {attempt_end::try_next,
            notRun(std::string(toString(refusal.reason)), "the endpoint refused the request: " + refusal.detail,
                   retryAfter)};
}

dispatcher::attempt_result dispatcher::settleFailed(request_context &context)
{
    const failed_frame failure = context.pending->failure();
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    const bool repeat = failure.outcome == request_outcome::not_run || context.request.mayRepeat;
    return {repeat ? attempt_end::try_next : attempt_end::settled,
            unknownOutcome(502, "endpoint_failed", failure.step + ": " + failure.detail)};
}

dispatcher::attempt_result dispatcher::settleLost(request_context &context)
{
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    return {context.request.mayRepeat ? attempt_end::try_next : attempt_end::settled,
            unknownOutcome(502, "endpoint_lost", "the endpoint process is out of reach")};
}

dispatcher::attempt_result dispatcher::settleCancelled(request_context &context, int status, const std::string &code,
                                                       const std::string &message)
{
    context.pending->cancel();
    const bool proved = context.pending->waitNotStarted(cancelPatience);
    m_directory.onNeutral(context.pending->endpoint());
    api_error failure = unknownOutcome(status, code, message);
    failure.outcome = proved ? request_outcome::not_run : request_outcome::unknown;
    return {attempt_end::settled, failure};
}

dispatcher::attempt_result dispatcher::settleLateFirstToken(request_context &context)
{
    context.pending->cancel();
    const bool proved = context.pending->waitNotStarted(cancelPatience);
    const time_point now = boot_clock::now();
    const auto retryAfter =
        std::max<std::chrono::milliseconds>(m_directory.retryAfter(context.request, now), std::chrono::seconds(1));
    const std::string message = "no first token within first_token_ms of the traffic class";
    if (proved) {
        // It still waited in the queue of the endpoint that looked best: in overload another attempt only adds load.
        m_directory.onNeutral(context.pending->endpoint());
        return {attempt_end::settled, notRun("first_token_timeout", message, retryAfter)};
    }
    m_directory.onFailed(context.pending->endpoint(), now);
    return {context.request.mayRepeat ? attempt_end::try_next : attempt_end::settled,
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
    // These say what the entry knows; a service's own, for example of another installation behind it, would be read as
    // the outcome here and could free the key of an order that ran.
    std::erase_if(reply.headers, [](const auto &header) {
        return headerNamesEqual(header.first.substr(0, ownHeaderPrefix.size()), ownHeaderPrefix);
    });
    reply.headers.emplace_back("X-Request-Id", id);
    if (!context.request.streaming) {
        const auto end = collect(context, reply.body);
        if (end == relay_end::whole) {
            const bool current = keepSession(context, reply);
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
            return continueElsewhere(broken, std::move(body));
        };
    }
    std::string collected;
    collected.swap(reply.body);
    reply.stream = std::make_shared<relay_stream>(
        std::move(context), std::move(collected),
        [this](request_context &finished, relay_end end) { finishRelay(finished, end); }, std::move(continuation));
    return reply;
}

bool dispatcher::continueElsewhere(request_context &context, std::string body)
{
    // The old process may only be out of reach: where it still hears this, it stops work that nobody waits for.
    context.pending->cancel();
    m_directory.onFailed(context.pending->endpoint(), boot_clock::now());
    // Attempts that fail below tell the directory themselves; only one whose answer is relayed is counted at its end.
    context.attemptCounted = true;
    context.request.body = std::move(body);
    while (context.tried.size() < maxAttempts && remaining(context) > leastContinuationTime && mayRetry(context)) {
        const link_ptr connection = m_directory.choose(context.request, context.tried, boot_clock::now());
        if (connection == nullptr) {
            return false;
        }
        const attempt_result result = tryEndpoint(context, connection);
        if (result.end == attempt_end::settled) {
            return false;
        }
        if (result.end == attempt_end::try_next) {
            continue;
        }
        const response_head_frame head = context.pending->head();
        if (isEventStream(head)) {
            context.attemptCounted = false;
            context.headAt = boot_clock::now();
            m_metrics.continuedStreams.add();
            return true;
        }
        // An engine that rejects the request would be asked in vain anywhere else.
        context.pending->cancel();
        m_directory.onNeutral(context.pending->endpoint());
        if (head.status < statusServerError) {
            return false;
        }
    }
    return false;
}

bool dispatcher::keepSession(const request_context &context, http_reply &reply)
{
    const caller_request &request = context.request;
    if (!request.readYourWrites) {
        return true;
    }
    const std::string version = findHeader(reply.headers, "X-Version").value_or("");
    const auto shown = read_session::parse(context.pending->endpoint() + ";v=" + version);
    const bool isRead = request.mayRepeat;
    if (isRead && request.session && (!shown || shown->version < request.session->version)) {
        return false;
    }
    if (shown) {
        reply.headers.emplace_back("X-Bronzechute-Session", shown->toHeader());
    }
    return true;
}

std::optional<relay_end> dispatcher::collect(request_context &context, std::string &body)
{
    std::string buffer(readBytes, '\0');
    while (!context.pending->complete()) {
        if (body.size() >= collectLimit) {
            return std::nullopt;
        }
        body.append(buffer, 0, context.pending->read(buffer.data(), buffer.size(), waitInterval));
        if (context.clientLeft()) {
            return relay_end::caller_left;
        }
        if (context.pending->broken()) {
            return relay_end::endpoint_failed;
        }
        if (remaining(context) <= std::chrono::milliseconds(0)) {
            return relay_end::deadline;
        }
    }
    return relay_end::whole;
}

void dispatcher::finishRelay(request_context &context, relay_end end)
{
    if (!context.attemptCounted) {
        countEnd(context, end);
    }
    if (end != relay_end::whole) {
        m_metrics.cutStreams.add();
    }
    finish(context, end == relay_end::whole ? request_outcome::answered : request_outcome::unknown);
}

void dispatcher::countEnd(const request_context &context, relay_end end)
{
    const time_point now = boot_clock::now();
    const std::string endpoint = context.pending->endpoint();
    switch (end) {
    case relay_end::whole:
        // The length of an answer is the caller's choice, so the whole time would not compare between endpoints.
        m_directory.onAnswered(endpoint, context.headAt - context.attemptAt, now);
        break;
    case relay_end::endpoint_failed:
    case relay_end::deadline:
        m_directory.onFailed(endpoint, now);
        break;
    case relay_end::caller_left:
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
