#include "gateway/request_dispatcher.h"

#include "balance/admission.h"
#include "balance/placement.h"

#include <vector>

namespace bronzechute {

namespace {

// While requests wait, slots freed at other gateways and expired waits are looked for this often.
constexpr std::chrono::milliseconds lineCheckInterval {10};
// Requests beyond its slots wait at the gateway, where the first endpoint with a free slot takes them.
constexpr int overcommit = 0;

} // namespace

request_dispatcher::request_dispatcher(boost::asio::io_context &loop, endpoint_table &endpoints,
                                       const repeat_limits &limits, std::uint64_t seed)
    : m_timer(loop), m_endpoints(endpoints), m_limits(limits), m_random(seed)
{
}

request_dispatcher::service_line &request_dispatcher::lineOf(const std::string &service)
{
    const auto found = m_lines.find(service);
    if (found != m_lines.end()) {
        return found->second;
    }
    service_line line {{}, {}, {}, {}, repeat_budget(ownLimits())};
    return m_lines.emplace(service, std::move(line)).first->second;
}

std::optional<std::uint64_t> request_dispatcher::submit(const std::string &service, waiting_request request,
                                                        const std::shared_ptr<placement_client> &client)
{
    service_line &line = lineOf(service);
    const time_point now = boot_clock::now();
    if (!request.returned) {
        line.arrivals.record(now);
    }
    request.ticket = m_nextTicket++;
    const std::size_t ahead = line.line.countAhead(request, now);
    if (ahead == 0) {
        if (const gateway_endpoint_ptr endpoint = choose(service, client->tried())) {
            place(endpoint, client);
            return std::nullopt;
        }
    }
    const line_state state {ahead, line.rate.interval(now), line.arrivals.interval(now),
                            m_endpoints.anyUsable(service, now)};
    const admission_decision decision = admit(state, request, now);
    if (!decision.admitted) {
        client->onRefused(state.anyUsable ? refusal::line_too_long : refusal::no_endpoint, decision.expectedWait);
        return std::nullopt;
    }
    const std::uint64_t ticket = request.ticket;
    line.line.push(std::move(request));
    line.clients.emplace(ticket, client);
    scheduleCheck();
    return ticket;
}

gateway_endpoint_ptr request_dispatcher::choose(const std::string &service, std::span<const std::string> tried)
{
    const std::vector<endpoint_view> views = m_endpoints.viewsOf(service, tried, boot_clock::now());
    const auto index = placeRequest(views, overcommit, m_random);
    return index ? m_endpoints.endpointsOf(service)[*index] : nullptr;
}

void request_dispatcher::place(const gateway_endpoint_ptr &endpoint, const std::shared_ptr<placement_client> &client)
{
    ++endpoint->ownRunning;
    endpoint->coldRate.take(boot_clock::now());
    client->onPlaced(endpoint);
}

void request_dispatcher::withdraw(const std::string &service, std::uint64_t ticket)
{
    service_line &line = lineOf(service);
    line.line.erase(ticket);
    line.clients.erase(ticket);
}

void request_dispatcher::release(const gateway_endpoint_ptr &endpoint)
{
    --endpoint->ownRunning;
    service_line &line = lineOf(endpoint->record.service);
    line.rate.record(boot_clock::now());
    if (!line.line.empty()) {
        serveLine(endpoint->record.service, line);
    }
}

void request_dispatcher::countRequest(const std::string &service)
{
    lineOf(service).budget.onRequest(boot_clock::now());
}

bool request_dispatcher::mayRepeat(const std::string &service)
{
    return lineOf(service).budget.tryTake(boot_clock::now());
}

void request_dispatcher::setGateways(int count)
{
    m_gateways = count;
    for (auto &[service, line] : m_lines) {
        line.budget.setLimits(ownLimits());
    }
}

void request_dispatcher::setRepeatLimits(const repeat_limits &limits)
{
    m_limits = limits;
    setGateways(m_gateways);
}

repeat_limits request_dispatcher::ownLimits() const
{
    repeat_limits own = m_limits;
    own.fixed /= m_gateways;
    return own;
}

void request_dispatcher::serveLines()
{
    for (auto &[service, line] : m_lines) {
        serveLine(service, line);
    }
}

void request_dispatcher::serveLine(const std::string &service, service_line &line)
{
    expire(line, boot_clock::now());
    while (!line.line.empty()) {
        const auto request = line.line.pop(boot_clock::now());
        const auto found = line.clients.find(request->ticket);
        const std::shared_ptr<placement_client> client = found->second;
        const gateway_endpoint_ptr endpoint = choose(service, client->tried());
        if (endpoint == nullptr) {
            line.line.push(*request);
            return;
        }
        line.clients.erase(found);
        place(endpoint, client);
    }
}

void request_dispatcher::expire(service_line &line, time_point now)
{
    for (const waiting_request &request : line.line.takeExpired(now)) {
        const auto found = line.clients.find(request.ticket);
        const std::shared_ptr<placement_client> client = found->second;
        line.clients.erase(found);
        client->onRefused(refusal::waited_too_long, line.rate.interval(now));
    }
}

void request_dispatcher::scheduleCheck()
{
    if (m_checkScheduled) {
        return;
    }
    m_checkScheduled = true;
    m_timer.expires_after(lineCheckInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        m_checkScheduled = false;
        serveLines();
        if (waiting() > 0) {
            scheduleCheck();
        }
    });
}

std::size_t request_dispatcher::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, line] : m_lines) {
        count += line.line.size();
    }
    return count;
}

} // namespace bronzechute
