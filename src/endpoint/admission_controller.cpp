#include "endpoint/admission_controller.h"

#include "observe/log.h"
#include "policy/retry_after_estimate.h"
#include "request/attempt_limits.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace bronzechute {

namespace {

constexpr double serviceTimeSmoothing = 0.1;

back_end_request makeBackEndRequest(const submit_frame &submit, const endpoint_settings &settings,
                                    const std::string &traceparent)
{
    back_end_request request;
    request.method = submit.method;
    request.path = submit.path;
    request.headers = submit.headers;
    request.headers.emplace_back("X-Request-Id", submit.id.request.toString());
    request.headers.emplace_back("traceparent", traceparent);
    request.body = submit.body;
    request.priority = submit.priority;
    request.idleTimeout = settings.engineIdleTimeout;
    request.deadline = std::chrono::milliseconds(submit.deadlineMs);
    return request;
}

queue_settings queueSettings(const daemon_settings &settings)
{
    queue_settings result {.capacity = static_cast<std::size_t>(settings.endpoint.queueLength)};
    if (settings.endpoint.kind == endpoint_kind::service) {
        // A service has no first token to wait for, so only the deadline limits the wait.
        result.longestWait = boot_clock::duration::max();
    }
    return result;
}

} // namespace

admission_controller::admission_controller(const daemon_settings &settings, std::shared_ptr<back_end> engine,
                                           std::unique_ptr<admission_limiter> limiter,
                                           const configuration_holder &configuration, metrics_registry &metrics)
    : m_settings(settings)
    , m_engine(std::move(engine))
    , m_configuration(configuration)
    , m_metrics(metrics)
    , m_tracer(std::make_shared<log_tracer>(std::random_device {}()))
    , m_limiter(std::move(limiter))
    , m_registry(attemptRetention)
    , m_queue(queueSettings(settings))
    , m_random(std::random_device {}())
{
}

bool admission_controller::isOutOfService() const
{
    const configuration_ptr current = m_configuration.current();
    const endpoint_override *own = current->content.findEndpoint(m_settings.node);
    return !current->content.inService(m_settings.dataCentre) || (own != nullptr && own->drained);
}

std::optional<refusal_reason> admission_controller::refusalReasonLocked(const submit_frame &submit,
                                                                        time_point now) const
{
    if (m_leaving) {
        return refusal_reason::leaving;
    }
    if (isOutOfService()) {
        return refusal_reason::out_of_service;
    }
    if (!m_load.reachable) {
        return refusal_reason::not_ready;
    }
    if (clockMilliseconds(now) > submit.latestStartMs) {
        return refusal_reason::expired;
    }
    return std::nullopt;
}

void admission_controller::refuseLocked(const link_ptr &connection, const attempt_id &id, refusal_reason reason,
                                        time_point now)
{
    // Recording the attempt as cancelled makes the refusal final: a duplicate submit that arrives later is refused too.
    m_registry.cancel(id, now);
    const auto retryAfter =
        retryAfterEstimate(static_cast<int>(m_queue.size()), m_limiter->limit(now), m_meanServiceMs, m_random);
    m_metrics
        .counter("bronzechute_refused_total", "reason=\"" + std::string(toString(reason)) + "\"",
                 "Requests that this endpoint process refused as not run.")
        .add();
    if (connection != nullptr) {
        connection->send(
            refused_frame {id, reason, std::chrono::milliseconds(retryAfter).count(), std::string(toString(reason))});
    }
}

void admission_controller::onSubmit(const link_ptr &connection, const submit_frame &submit, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    switch (m_registry.registerAttempt(submit.id, now)) {
    case arrival::duplicate:
        return;
    case arrival::cancelled:
        refuseLocked(connection, submit.id, refusal_reason::cancelled, now);
        return;
    case arrival::fresh:
        break;
    }
    if (const auto reason = refusalReasonLocked(submit, now)) {
        refuseLocked(connection, submit.id, *reason, now);
        return;
    }
    const auto budget = std::chrono::milliseconds(submit.latestStartMs - clockMilliseconds(now));
    queued_request waiting {submit.id.request, submit.account, submit.accountWeight, submit.priority, now + budget};
    if (m_engineRequests >= m_limiter->limit(now)) {
        const auto latestStart = m_queue.latestStart(waiting, now, startIntervalLocked(now));
        if (!latestStart) {
            refuseLocked(connection, submit.id, refusal_reason::overloaded, now);
            return;
        }
        waiting.deadline = *latestStart;
    }
    const queue_push_result pushed = m_queue.push(waiting);
    if (pushed.displaced) {
        refuseQueuedLocked(pushed.displaced->id, refusal_reason::overloaded, now);
    }
    if (!pushed.queued) {
        refuseLocked(connection, submit.id, refusal_reason::overloaded, now);
        return;
    }
    m_queuedAttempts.insert_or_assign(submit.id.request, queued_attempt {submit, connection});
    startQueuedLocked(now);
}

boot_clock::duration admission_controller::startIntervalLocked(time_point now) const
{
    // The limit of a cold endpoint doubles within a few answers, so the current throughput does not predict the wait.
    const double milliseconds = m_limiter->cold() ? 0 : m_meanServiceMs / std::max(1, m_limiter->limit(now));
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

void admission_controller::refuseQueuedLocked(const request_id &id, refusal_reason reason, time_point now)
{
    const auto position = m_queuedAttempts.find(id);
    if (position != m_queuedAttempts.end()) {
        refuseLocked(position->second.connection, position->second.submit.id, reason, now);
        m_queuedAttempts.erase(position);
    }
}

void admission_controller::startQueuedLocked(time_point now)
{
    while (m_engineRequests < m_limiter->limit(now)) {
        const queue_pop_result popped = m_queue.pop(now);
        for (const queued_request &late : popped.expired) {
            refuseQueuedLocked(late.id, refusal_reason::expired, now);
        }
        if (!popped.next) {
            return;
        }
        const auto position = m_queuedAttempts.find(popped.next->id);
        if (position == m_queuedAttempts.end()) {
            continue;
        }
        queued_attempt attempt = std::move(position->second);
        m_queuedAttempts.erase(position);
        startLocked(std::move(attempt), now);
    }
}

void admission_controller::startLocked(queued_attempt attempt, time_point now)
{
    if (!m_registry.start(attempt.submit.id)) {
        return;
    }
    auto span = startSpan(*m_tracer, "endpoint.request", attempt.submit.traceparent);
    span->SetTag("request_id", attempt.submit.id.request.toString());
    span->SetTag("account", attempt.submit.account);
    const std::string traceparent = traceparentOf(*span);
    auto request = std::make_shared<running_request>(attempt.submit, attempt.connection, *this, std::move(span));
    m_running.emplace(attempt.submit.id, request);
    ++m_engineRequests;
    m_limiter->onStarted(now);
    // The entry does not wait for this frame, so it may be sent in one write with the head of the answer.
    attempt.connection->sendDeferred(accepted_frame {attempt.submit.id});
    request->setTransfer(
        m_engine->start(makeBackEndRequest(attempt.submit, m_settings.endpoint, traceparent), request));
}

void admission_controller::onRequestEnded(const attempt_id &id, const answer_sample &sample, bool mayHaveRun)
{
    const std::scoped_lock lock(m_mutex);
    const time_point now = boot_clock::now();
    --m_engineRequests;
    m_limiter->onFinished(now, sample);
    if (mayHaveRun) {
        m_registry.finish(id, now);
    } else {
        m_registry.finishWithoutRun(id, now);
    }
    const double serviceMs = std::chrono::duration<double, std::milli>(sample.service).count();
    if (sample.outcome == answer_outcome::answered) {
        m_meanServiceMs += (serviceMs - m_meanServiceMs) * (m_meanServiceMs == 0 ? 1 : serviceTimeSmoothing);
    }
    startQueuedLocked(now);
}

void admission_controller::onCancel(const link_ptr &connection, const cancel_frame &cancel, time_point now)
{
    std::shared_ptr<running_request> running;
    {
        const std::scoped_lock lock(m_mutex);
        const bool started = m_registry.cancel(cancel.id, now);
        const auto waiting = m_queuedAttempts.find(cancel.id.request);
        if (!started && waiting != m_queuedAttempts.end() && waiting->second.submit.id == cancel.id) {
            m_queue.cancel(cancel.id.request);
            m_queuedAttempts.erase(waiting);
        }
        const auto position = m_running.find(cancel.id);
        if (position != m_running.end()) {
            running = position->second;
        }
        connection->send(cancelled_frame {cancel.id, started});
    }
    // Do not abort a call of a plain service, because that would not undo its effects.
    if (running != nullptr && running->submit().kind == endpoint_kind::model) {
        running->cancel();
    }
}

void admission_controller::onResume(const link_ptr &connection, const resume_frame &resume, time_point now)
{
    std::shared_ptr<running_request> running;
    {
        const std::scoped_lock lock(m_mutex);
        const auto position = m_running.find(resume.id);
        if (position == m_running.end()) {
            // Either the submit never arrived, and the record prevents a late one from running, or the answer was
            // removed.
            const bool started = m_registry.cancel(resume.id, now);
            connection->send(cancelled_frame {resume.id, started});
            return;
        }
        running = position->second;
    }
    running->resumeOn(connection, resume.nextSequence);
}

void admission_controller::onCredit(const credit_frame &credit)
{
    std::shared_ptr<running_request> running;
    {
        const std::scoped_lock lock(m_mutex);
        const auto position = m_running.find(credit.id);
        if (position == m_running.end()) {
            return;
        }
        running = position->second;
    }
    running->credit(credit.nextSequence);
    if (running->isDelivered()) {
        const std::scoped_lock lock(m_mutex);
        m_running.erase(credit.id);
    }
}

void admission_controller::onDisconnected(const link_ptr &connection, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    for (auto position = m_queuedAttempts.begin(); position != m_queuedAttempts.end();) {
        if (position->second.connection == connection) {
            m_registry.cancel(position->second.submit.id, now);
            m_queue.cancel(position->first);
            position = m_queuedAttempts.erase(position);
        } else {
            ++position;
        }
    }
    for (const auto &[id, running] : m_running) {
        running->dropConnection(connection, now);
    }
}

void admission_controller::maintain(time_point now)
{
    std::vector<std::shared_ptr<running_request>> abandoned;
    {
        const std::scoped_lock lock(m_mutex);
        m_registry.expire(now);
        for (const queued_request &late : m_queue.takeExpired(now)) {
            refuseQueuedLocked(late.id, refusal_reason::expired, now);
        }
        for (auto position = m_running.begin(); position != m_running.end();) {
            const auto endedAt = position->second->endedAt();
            const auto connectionLostAt = position->second->disconnectedSince();
            if (endedAt && (position->second->isDelivered() || now - *endedAt > deliveryTimeout)) {
                position = m_running.erase(position);
                continue;
            }
            if (!endedAt && connectionLostAt && now - *connectionLostAt > resumeTimeout
                && position->second->submit().kind == endpoint_kind::model) {
                abandoned.push_back(position->second);
            }
            ++position;
        }
        startQueuedLocked(now);
    }
    for (const auto &running : abandoned) {
        running->cancel();
    }
}

void admission_controller::onLoadReport(const back_end_load &load, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    if (load.reachable != m_load.reachable) {
        logLine(log_level::info, "endpoint", load.reachable ? "engine is reachable" : "engine is unreachable",
                {{"peer", m_settings.endpoint.engineUrl}, {"step", "endpoint.probe"}});
    }
    m_load = load;
    m_limiter->onLoadReport(now, load);
}

void admission_controller::onRememberedPace(const warm_pace &remembered, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    m_limiter->onRememberedPace(now, remembered);
}

void admission_controller::onConfiguration(time_point now)
{
    const std::scoped_lock lock(m_mutex);
    const bool out = isOutOfService();
    if (m_wasOutOfService && !out) {
        m_limiter->markCold(now);
    }
    m_wasOutOfService = out;
    if (out) {
        refuseAllQueuedLocked(refusal_reason::out_of_service, now);
    }
}

void admission_controller::stopAccepting(time_point now)
{
    const std::scoped_lock lock(m_mutex);
    m_leaving = true;
    refuseAllQueuedLocked(refusal_reason::leaving, now);
}

void admission_controller::refuseAllQueuedLocked(refusal_reason reason, time_point now)
{
    while (!m_queuedAttempts.empty()) {
        const request_id id = m_queuedAttempts.begin()->first;
        m_queue.cancel(id);
        refuseQueuedLocked(id, reason, now);
    }
}

endpoint_status admission_controller::status(time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    endpoint_status current;
    current.state = m_leaving ? serving_state::leaving
        : m_load.reachable    ? serving_state::serving
                              : serving_state::starting;
    current.dataCentre = m_settings.dataCentre;
    current.labels = m_settings.endpoint.labels;
    current.models = m_settings.endpoint.models;
    current.inFlight = m_engineRequests;
    current.limit = m_limiter->limit(now);
    current.queued = static_cast<int>(m_queue.size());
    current.cold = m_limiter->cold();
    current.engineStartId = m_load.startId;
    current.meanServiceMs = m_meanServiceMs;
    current.warmPace = m_limiter->warmPace();
    return current;
}

std::size_t admission_controller::unfinishedCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_running.size() + m_queuedAttempts.size();
}

} // namespace bronzechute
