#include "gateway/request_dispatcher.h"

#include "balance/cold_permits.h"
#include "balance/placement.h"
#include "observe/log.h"

#include <algorithm>
#include <vector>

namespace bronzechute {

namespace {

// While requests are queued, checks for slots freed by other gateways and for requests that waited too long.
constexpr std::chrono::milliseconds queueCheckInterval {10};
// An endpoint gets no requests beyond its slots: in the queue, the first free slot of any endpoint can serve them.
constexpr int overcommit = 0;
// The summaries of the other gateways arrive less often.
constexpr std::chrono::milliseconds othersInterval {100};
constexpr std::chrono::seconds countsLogInterval {2};

} // namespace

request_dispatcher::request_dispatcher(boost::asio::io_context &loop, endpoint_table &endpoints,
                                       const retry_limits &limits, std::uint64_t seed)
    : m_timer(loop), m_endpoints(endpoints), m_limits(limits), m_startedAt(boot_clock::now()), m_random(seed)
{
}

request_dispatcher::service_queue &request_dispatcher::queueOf(const std::string &service)
{
    const auto found = m_queues.find(service);
    if (found != m_queues.end()) {
        return found->second;
    }
    service_queue queue {{}, {}, {}, windowed_retry_budget(ownRetryLimits(service), m_startedAt), {}, {}, {}};
    return m_queues.emplace(service, std::move(queue)).first->second;
}

std::optional<std::uint64_t> request_dispatcher::submit(const std::string &service, waiting_request request,
                                                        const std::shared_ptr<placement_client> &client)
{
    service_queue &queue = queueOf(service);
    const time_point now = boot_clock::now();
    request.ticket = m_nextTicket++;
    request.tokens = client->tokens();
    updateOthers(service, queue, now);
    queue.waiting.recordArrival(request, now);
    if (m_closed) {
        refuse(service, queue, request, client, refusal::shutting_down, {});
        return std::nullopt;
    }
    if (const auto refused = refusedAtOnce(service, request, client->demand(), now)) {
        refuse(service, queue, request, client, *refused->refused, refused->expectedWait);
        return std::nullopt;
    }
    if (queue.waiting.countAhead(request, now) == 0) {
        if (const gateway_endpoint_ptr endpoint = choose(service, queue, request, *client)) {
            place(queue, request, endpoint, client);
            return std::nullopt;
        }
    }
    const placement_preview admission = admissionOf(service, queue.waiting, request, now);
    if (admission.refused) {
        refuse(service, queue, request, client, *admission.refused, admission.expectedWait);
        return std::nullopt;
    }
    const std::uint64_t ticket = request.ticket;
    queue.waiting.push(std::move(request));
    queue.clients.emplace(ticket, client);
    scheduleCheck();
    return ticket;
}

void request_dispatcher::updateOthers(const std::string &service, service_queue &queue, time_point now)
{
    if (m_fleetView != nullptr && now - queue.othersAt >= othersInterval) {
        queue.othersAt = now;
        queue.waiting.setOthers(m_fleetView->othersQueues(service, now), static_cast<int>(m_fleet.members.size()));
    }
}

void request_dispatcher::refuse(const std::string &service, service_queue &queue, const waiting_request &request,
                                const std::shared_ptr<placement_client> &client, refusal reason,
                                boot_clock::duration expectedWait)
{
    const time_point now = boot_clock::now();
    queue.waiting.recordRefusal(request, reason == refusal::wait_too_long || reason == refusal::queue_timeout, now);
    logCounts(service, queue, now);
    client->onRefused(reason, expectedWait);
}

void request_dispatcher::logCounts(const std::string &service, service_queue &queue, time_point now)
{
    if (now - queue.reportedAt < countsLogInterval) {
        return;
    }
    queue.reportedAt = now;
    const share_counts &counts = queue.waiting.counts();
    logLine(log_level::info, "gateway", "requests refused for lack of room",
            {{"service", service},
             {"waiting", queue.waiting.size()},
             {"waiting_elsewhere", queue.waiting.waitingElsewhere()},
             {"refused", counts.refused},
             {"came_back", counts.cameBack},
             {"refused_again", counts.refusedAgain},
             {"started_from_place", counts.places},
             {"order_inversions", counts.inversions},
             {"priority_turns", counts.turns},
             {"accounts_over_share", queue.waiting.accountsOverShare().size()},
             {"fairness", queue.waiting.fairness(now)}});
}

std::optional<placement_preview> request_dispatcher::refusedAtOnce(const std::string &service,
                                                                   const waiting_request &request,
                                                                   const std::optional<stream_demand> &demand,
                                                                   time_point now) const
{
    if (isTooSlow(service, demand, now)) {
        return placement_preview {refusal::cannot_complete, false, 0, {}};
    }
    if (m_endpoints.earliestRoom(service, now) > request.expiresAt) {
        return placement_preview {refusal::no_endpoint, false, 0, knownWait(service, now)};
    }
    return std::nullopt;
}

placement_preview request_dispatcher::admissionOf(const std::string &service, const shared_queue &queue,
                                                  waiting_request &request, time_point now) const
{
    const bool anyUsable = m_endpoints.anyUsable(service, now);
    const std::size_t ahead = queue.countAhead(request, now);
    const admission_decision decision = queue.admit(request, anyUsable, ownSlots(service), now);
    const boot_clock::duration rateWait = rateDelay(service, now);
    placement_preview preview {std::nullopt, true, ahead,
                               std::max({decision.expectedWait, rateWait, knownWait(service, now)})};
    if (!decision.admitted || now + rateWait > request.expiresAt) {
        preview.refused = anyUsable ? refusal::wait_too_long : refusal::no_endpoint;
        preview.isQueued = false;
    }
    return preview;
}

placement_preview request_dispatcher::preview(const std::string &service, waiting_request request,
                                              const std::optional<stream_demand> &demand, bool hasRoom,
                                              time_point now) const
{
    if (const auto refused = refusedAtOnce(service, request, demand, now)) {
        return *refused;
    }
    request.ticket = m_nextTicket;
    static const shared_queue none;
    const auto found = m_queues.find(service);
    const shared_queue &queue = found == m_queues.end() ? none : found->second.waiting;
    if (hasRoom && queue.countAhead(request, now) == 0) {
        return {};
    }
    return admissionOf(service, queue, request, now);
}

boot_clock::duration request_dispatcher::knownWait(const std::string &service, time_point now) const
{
    const time_point roomAt = m_endpoints.earliestRoom(service, now);
    return roomAt == time_point::max() ? boot_clock::duration(0) : roomAt - now;
}

std::size_t request_dispatcher::ownSlots(const std::string &service) const
{
    std::size_t slots = 0;
    for (const gateway_endpoint_ptr &endpoint : m_endpoints.endpointsOf(service)) {
        slots += static_cast<std::size_t>(std::max(0, endpoint->record.slots));
    }
    return slots / static_cast<std::size_t>(std::max(1, m_gatewayCount));
}

gateway_endpoint_ptr request_dispatcher::choose(const std::string &service, service_queue &queue,
                                                const waiting_request &request, const placement_client &client)
{
    const time_point now = boot_clock::now();
    std::vector<endpoint_view> views = m_endpoints.viewsOf(service, client.tried(), now);
    const auto &endpoints = m_endpoints.endpointsOf(service);
    if (const auto demand = client.demand()) {
        for (std::size_t index = 0; index < views.size(); ++index) {
            views[index].usable = views[index].usable && m_endpoints.completes(*endpoints[index], *demand, now);
        }
    }
    const auto index = placeRequest(views, overcommit, m_random, m_endpoints.concurrentPlacements(service, now));
    if (!index) {
        return nullptr;
    }
    double room = 0;
    for (const endpoint_view &view : views) {
        room += view.usable ? std::max(0, view.slots - view.running) : 0;
    }
    const bool mayTake = queue.room.allows(queue.waiting.roomState(room, request), now, m_random);
    return mayTake ? endpoints[*index] : nullptr;
}

bool request_dispatcher::isTooSlow(const std::string &service, const std::optional<stream_demand> &demand,
                                   time_point now) const
{
    return demand && m_endpoints.anyUsable(service, now) && !m_endpoints.anyUsable(service, now, demand);
}

void request_dispatcher::place(service_queue &queue, const waiting_request &request,
                               const gateway_endpoint_ptr &endpoint, const std::shared_ptr<placement_client> &client)
{
    ++endpoint->ownRunning;
    endpoint->ownTokens += client->tokens();
    const time_point now = boot_clock::now();
    queue.room.recordTaken();
    queue.waiting.recordStart(request, now);
    endpoint_table::recordSent(*endpoint, now);
    m_endpoints.recordPlaced(*endpoint, client->tokens(), now);
    client->onPlaced(endpoint);
}

void request_dispatcher::withdraw(const std::string &service, std::uint64_t ticket)
{
    service_queue &queue = queueOf(service);
    queue.waiting.erase(ticket);
    queue.clients.erase(ticket);
}

void request_dispatcher::release(const gateway_endpoint_ptr &endpoint, std::int64_t tokens)
{
    --endpoint->ownRunning;
    endpoint->ownTokens -= tokens;
    const time_point now = boot_clock::now();
    m_endpoints.recordReleased(*endpoint, now);
    service_queue &queue = queueOf(endpoint->record.service);
    queue.waiting.recordCompletion(now);
    queue.room.recordFreed();
    if (!queue.waiting.empty()) {
        serveQueue(endpoint->record.service, queue);
    }
}

void request_dispatcher::countRequest(const std::string &service)
{
    queueOf(service).budget.onRequest(boot_clock::now());
}

bool request_dispatcher::tryConsumeRetry(const std::string &service)
{
    const time_point now = boot_clock::now();
    if (!hasRetry(service)) {
        return false;
    }
    return queueOf(service).budget.tryTake(now);
}

bool request_dispatcher::hasRetry(const std::string &service)
{
    const time_point now = boot_clock::now();
    service_queue &queue = queueOf(service);
    if (queue.budget.allows(now)) {
        return true;
    }
    ++m_refusedRetries;
    logRefusedRetry(service, queue, now);
    return false;
}

bool request_dispatcher::hasUntriedEndpoint(const std::string &service, const placement_client &client)
{
    const std::vector<endpoint_view> views = m_endpoints.viewsOf(service, client.tried(), boot_clock::now());
    return std::ranges::any_of(views, &endpoint_view::usable);
}

void request_dispatcher::logRefusedRetry(const std::string &service, service_queue &queue, time_point now)
{
    if (now - queue.budgetReportedAt < countsLogInterval) {
        return;
    }
    queue.budgetReportedAt = now;
    const retry_budget_state state = queue.budget.state(now);
    logLine(
        log_level::info, "gateway", "retries refused by the retry budget",
        {{"service", service}, {"requests", state.requests}, {"retries", state.retries}, {"allowed", state.allowed}});
}

void request_dispatcher::setGateways(int count)
{
    m_gatewayCount = count;
}

void request_dispatcher::setFleet(const gateway_fleet &fleet)
{
    m_fleet = fleet;
    for (auto &[service, queue] : m_queues) {
        queue.budget.setLimits(ownRetryLimits(service));
    }
}

void request_dispatcher::setRetryLimits(const retry_limits &limits)
{
    m_limits = limits;
    setFleet(m_fleet);
}

retry_limits request_dispatcher::ownRetryLimits(const std::string &service) const
{
    retry_limits own = m_limits;
    own.fixed = wholePermitShare(m_fleet, service, m_limits.fixed);
    return own;
}

boot_clock::duration request_dispatcher::rateDelay(const std::string &service, time_point now) const
{
    const time_point allowedAt = m_endpoints.rateAllowsAt(service, now);
    return allowedAt == time_point::max() ? boot_clock::duration(0) : allowedAt - now;
}

void request_dispatcher::serveQueues()
{
    for (auto &[service, queue] : m_queues) {
        serveQueue(service, queue);
    }
}

void request_dispatcher::serveQueue(const std::string &service, service_queue &queue)
{
    const time_point now = boot_clock::now();
    updateOthers(service, queue, now);
    expire(service, queue, now);
    while (!queue.waiting.empty()) {
        const auto request = queue.waiting.pop(boot_clock::now());
        const auto found = queue.clients.find(request->ticket);
        const std::shared_ptr<placement_client> client = found->second;
        if (isTooSlow(service, client->demand(), boot_clock::now())) {
            queue.clients.erase(found);
            refuse(service, queue, *request, client, refusal::cannot_complete, {});
            continue;
        }
        const gateway_endpoint_ptr endpoint = choose(service, queue, *request, *client);
        if (endpoint == nullptr) {
            queue.waiting.push(*request);
            return;
        }
        queue.clients.erase(found);
        place(queue, *request, endpoint, client);
    }
}

void request_dispatcher::expire(const std::string &service, service_queue &queue, time_point now)
{
    // Requests that expire before an endpoint accepts any are refused now.
    const std::vector<waiting_request> expired = queue.waiting.takeExpired(m_endpoints.earliestRoom(service, now));
    if (expired.empty()) {
        return; // The usual case; this runs each time a slot is freed.
    }
    const bool anyUsable = m_endpoints.anyUsable(service, now);
    const refusal reason = anyUsable ? refusal::queue_timeout : refusal::no_endpoint;
    const boot_clock::duration roomWait = anyUsable ? queue.waiting.completionInterval(now) : knownWait(service, now);
    const boot_clock::duration expectedWait = std::max(roomWait, rateDelay(service, now));
    refuseAll(service, queue, expired, reason, expectedWait);
}

void request_dispatcher::refuseAll(const std::string &service, service_queue &queue,
                                   const std::vector<waiting_request> &requests, refusal reason,
                                   boot_clock::duration expectedWait)
{
    for (const waiting_request &request : requests) {
        const auto found = queue.clients.find(request.ticket);
        const std::shared_ptr<placement_client> client = found->second;
        queue.clients.erase(found);
        refuse(service, queue, request, client, reason, expectedWait);
    }
}

void request_dispatcher::close()
{
    m_closed = true;
    for (auto &[service, queue] : m_queues) {
        refuseAll(service, queue, queue.waiting.takeExpired(time_point::max()), refusal::shutting_down, {});
    }
}

void request_dispatcher::setFleetView(const fleet_view *view)
{
    m_fleetView = view;
}

std::chrono::milliseconds request_dispatcher::promiseReturn(const std::string &service, const return_terms &terms)
{
    return queueOf(service).waiting.promiseReturn(terms, boot_clock::now(), m_random);
}

std::map<std::string, queue_summary> request_dispatcher::summaries() const
{
    const time_point now = boot_clock::now();
    std::map<std::string, queue_summary> summaries;
    for (const auto &[service, queue] : m_queues) {
        if (queue_summary summary = queue.waiting.summary(now); summary != queue_summary {}) {
            summaries.emplace(service, std::move(summary));
        }
    }
    return summaries;
}

share_counts request_dispatcher::shareCounts() const
{
    share_counts sum;
    for (const auto &[service, queue] : m_queues) {
        sum += queue.waiting.counts();
    }
    return sum;
}

double request_dispatcher::fairness() const
{
    const time_point now = boot_clock::now();
    double lowest = 1;
    for (const auto &[service, queue] : m_queues) {
        lowest = std::min(lowest, queue.waiting.fairness(now));
    }
    return lowest;
}

std::size_t request_dispatcher::accountsOverShare() const
{
    std::size_t count = 0;
    for (const auto &[service, queue] : m_queues) {
        count += queue.waiting.accountsOverShare().size();
    }
    return count;
}

void request_dispatcher::scheduleCheck()
{
    if (m_checkScheduled) {
        return;
    }
    m_checkScheduled = true;
    m_timer.expires_after(queueCheckInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        m_checkScheduled = false;
        serveQueues();
        if (queueDepth() > 0) {
            scheduleCheck();
        }
    });
}

std::size_t request_dispatcher::queueDepth() const
{
    std::size_t count = 0;
    for (const auto &[service, queue] : m_queues) {
        count += queue.waiting.size();
    }
    return count;
}

} // namespace bronzechute
