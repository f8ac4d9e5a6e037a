#include "gateway/gateway_role.h"

#include "balance/answer_bound.h"
#include "base/request_id.h"
#include "gateway/gateway_exchange.h"
#include "gateway/message_head.h"
#include "gateway/request_matcher.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace bronzechute {

namespace asio = boost::asio;

namespace {

// Another gateway, or this one a moment later, can serve the caller.
constexpr const char *retryElsewhere = "0.2";
// An entry that lapsed while the directory was away is written again within about two seconds of its return.
constexpr std::chrono::milliseconds removalDelay {1900};
// The platform's balancer takes this long to notice that the process is not ready any more.
constexpr std::chrono::milliseconds rotationDelay {2500};
// Requests that arrive later are accepted only if they end before the process does; others are for another gateway.
constexpr std::chrono::milliseconds acceptWhileDraining {2800};
constexpr std::chrono::milliseconds drainPoll {20};
const std::string coordinatorKey = "bronzechute/expert-maps/coordinator";
constexpr std::chrono::milliseconds coordinatorPoll {200};
constexpr std::chrono::milliseconds coordinatorPatience {700};
constexpr std::chrono::milliseconds coordinatorTurn {300};
// Callers are lost for as long as it takes to notice that the gateway cannot serve them.
constexpr std::chrono::milliseconds reachInterval {100};
// The process has to end by itself before the drain timeout is over.
constexpr std::chrono::milliseconds exitMargin {800};

std::vector<std::string> hostsOf(const std::vector<socket_address> &addresses)
{
    std::vector<std::string> hosts;
    hosts.reserve(addresses.size());
    for (const socket_address &address : addresses) {
        hosts.push_back(address.host);
    }
    return hosts;
}

} // namespace

result<std::unique_ptr<gateway_role>> gateway_role::start(const daemon_settings &settings, gateway_options options)
{
    std::unique_ptr<gateway_role> role(new gateway_role(settings, std::move(options)));
    const auto listening = role->listen();
    if (!listening) {
        return listening.error();
    }
    role->startCoordinator();
    role->watchReach();
    role->m_source = role->m_options.openSource(*role);
    role->m_thread = std::thread([loop = &role->m_loop] { loop->run(); });
    return role;
}

gateway_role::gateway_role(const daemon_settings &settings, gateway_options options)
    : m_settings(settings)
    , m_options(std::move(options))
    , m_work(m_loop.get_executor())
    , m_metrics(m_registry)
    , m_endpoints(settings.dataCentre)
    , m_dispatcher(m_loop, m_endpoints, settings.gateway.repeats, std::random_device()())
    , m_context {m_loop, m_options.headers, m_endpoints, m_dispatcher, m_metrics, m_redirect}
    , m_exchange(m_loop, settings.listen.peers.host, settings.listen.peers.port, settings.node, settings.dataCentre,
                 hostsOf(settings.gateway.seeds), m_endpoints, [this] { refreshShares(); })
    , m_status(*this)
    , m_callers(m_loop, *this, *this)
    , m_statusListener(m_loop, m_status, *this)
    , m_leaseTimer(m_loop)
    , m_reachTimer(m_loop)
{
    registerGauges();
}

gateway_role::~gateway_role()
{
    m_source.reset();
    m_lease.reset();
    m_work.reset();
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void gateway_role::registerGauges()
{
    m_registry.gauge("bronzechute_gateway_ready", "", "Whether the gateway takes callers.",
                     [this] { return m_draining ? 0.0 : 1.0; });
}

result<void> gateway_role::listen()
{
    const auto failure = [](const boost::system::error_code &code, const socket_address &address) {
        return error {errc::unavailable, "listen", address.toString(), code.message()};
    };
    if (const auto code = m_statusListener.start(m_settings.gateway.status)) {
        return failure(code, m_settings.gateway.status);
    }
    if (const auto code = m_exchange.start()) {
        return failure(code, m_settings.listen.peers);
    }
    if (const auto code = m_callers.start(m_settings.listen.http)) {
        return failure(code, m_settings.listen.http);
    }
    return success();
}

std::string gateway_role::addresses() const
{
    return "http=" + m_callers.address() + " status=" + m_statusListener.address();
}

bool gateway_role::drain()
{
    const time_point begin = boot_clock::now();
    const time_point stopAt = begin + std::max(m_settings.drainTimeout - exitMargin, std::chrono::milliseconds(0));
    const time_point earliest = std::min(begin + rotationDelay, stopAt);
    m_draining = true;
    asio::post(m_loop, [this, begin, stopAt] {
        m_acceptUntil = std::min(begin + acceptWhileDraining, stopAt);
        m_stopAt = stopAt;
        m_callers.closeIdle();
        if (m_coordinator != nullptr) {
            m_coordinator->stop();
        }
    });
    for (;;) {
        std::promise<std::size_t> busy;
        asio::post(m_loop, [&] {
            const bool switching = m_coordinator != nullptr && m_coordinator->switching();
            if (m_lease != nullptr && !switching) {
                m_lease->stop();
            }
            busy.set_value(m_callers.busyCount() + (switching ? 1 : 0));
        });
        const std::size_t count = busy.get_future().get();
        const time_point now = boot_clock::now();
        if ((count == 0 && now >= earliest) || now >= stopAt) {
            return count == 0;
        }
        std::this_thread::sleep_for(drainPoll);
    }
}

void gateway_role::reload(const daemon_settings &settings)
{
    daemon_settings adopted = m_settings;
    adopted.gateway.seeds = settings.gateway.seeds;
    adopted.gateway.repeats = settings.gateway.repeats;
    adopted.drainTimeout = settings.drainTimeout;
    adopted.logLevel = settings.logLevel;
    if (adopted != settings) {
        logLine(log_level::warn, "gateway", "some changed settings take effect with the next start only", {});
    }
    m_settings = adopted;
    asio::post(m_loop, [this, seeds = hostsOf(settings.gateway.seeds), repeats = settings.gateway.repeats] {
        m_exchange.setSeeds(seeds);
        m_dispatcher.setRepeatLimits(repeats);
    });
}

std::shared_ptr<running_exchange> gateway_role::handle(gateway_request request, caller_response &response)
{
    auto matched = matchRequest(request, m_table, m_options.headers, m_dispatcher.random());
    if (auto *plan = std::get_if<exchange_plan>(&matched)) {
        plan->returned = m_callerTimeouts[plan->matched->name].isReturn(
            std::chrono::duration_cast<std::chrono::milliseconds>(plan->callerDeadline - request.arrivedAt));
        if (!mayFinish(*plan, request.arrivedAt)) {
            matched = request_rejection {statusUnavailable, "the gateway is about to stop"};
        }
    }
    if (const auto *rejection = std::get_if<request_rejection>(&matched)) {
        reject(request, *rejection, response);
        return nullptr;
    }
    const auto exchange = std::make_shared<gateway_exchange>(m_context, std::move(request),
                                                             std::get<exchange_plan>(std::move(matched)), response);
    exchange->start();
    return exchange->ended() ? nullptr : exchange;
}

bool gateway_role::mayFinish(const exchange_plan &plan, time_point now) const
{
    if (!m_acceptUntil || now <= *m_acceptUntil) {
        return true;
    }
    const routed_service *service = plan.table->findService(plan.service);
    declared_answer answer;
    answer.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline - now);
    answer.latencyTarget = plan.matched->latencyTarget;
    answer.gapTarget = plan.matched->gapTarget;
    answer.mostTokens = plan.mostAnswerTokens;
    answer.tokensPerEvent = service != nullptr && service->engine ? service->engine->stepsPerPass : 1;
    return now + answerBound(answer) <= m_stopAt;
}

void gateway_role::reject(const gateway_request &request, const request_rejection &rejection, caller_response &response)
{
    const auto id = findHeader(request.headers, m_options.headers.requestId);
    logLine(log_level::info, "gateway", "request rejected",
            {{"request_id", id.value_or("")},
             {"status", rejection.status},
             {"cause", rejection.cause},
             {"configuration", m_table == nullptr ? 0 : m_table->version()}});
    m_metrics.countOutcome("rejected");
    answer_head head {rejection.status, reasonOf(rejection.status), {}};
    if (rejection.status == statusUnavailable) {
        head.headers.emplace_back("Retry-After", retryElsewhere);
    }
    response.respond(head, {});
}

std::shared_ptr<running_exchange> gateway_role::status_handler::handle(gateway_request request,
                                                                       caller_response &response)
{
    const std::string_view path = request.path();
    if (path == m_role.m_options.headers.readyPath) {
        const int status = m_role.ready() ? statusOk : statusUnavailable;
        response.respond({status, reasonOf(status), {}}, {});
    } else if (path == "/metrics") {
        response.respond({statusOk, reasonOf(statusOk), {{"Content-Type", "text/plain; version=0.0.4"}}},
                         m_role.m_registry.render());
    } else {
        response.respond({statusNotFound, reasonOf(statusNotFound), {}}, {});
    }
    return nullptr;
}

bool gateway_role::ready() const
{
    return m_table != nullptr && m_listed && !m_draining && !m_redirect.active();
}

void gateway_role::onRouting(std::shared_ptr<const routing_table> table)
{
    asio::post(m_loop, [this, table = std::move(table)]() mutable { adopt(std::move(table)); });
}

void gateway_role::adopt(std::shared_ptr<const routing_table> table)
{
    if (m_table != nullptr && table->version() < m_table->version()) {
        logLine(log_level::warn, "gateway", "older routing configuration ignored",
                {{"version", table->version()}, {"in_force", m_table->version()}});
        return;
    }
    if (m_table == nullptr || m_table->version() != table->version()) {
        logLine(log_level::info, "gateway", "routing configuration in force",
                {{"version", table->version()},
                 {"before", m_table == nullptr ? 0 : m_table->version()},
                 {"routes", table->document().routes.size()},
                 {"accounts", table->document().accounts.size()}});
    }
    m_table = std::move(table);
    std::set<std::string_view> names;
    for (const route &known : m_table->document().routes) {
        names.insert(known.name);
    }
    std::erase_if(m_callerTimeouts, [&names](const auto &entry) { return !names.contains(entry.first); });
    m_endpoints.applyRouting(*m_table, m_exchange.gateways());
    if (m_coordinator != nullptr) {
        m_coordinator->setRouting(m_table);
    }
}

void gateway_role::onEndpoint(const endpoint_record &record)
{
    asio::post(m_loop, [this, record] {
        m_removals.erase(record.id);
        m_endpoints.update(record);
        if (m_table != nullptr) {
            m_endpoints.applyRouting(*m_table, m_exchange.gateways());
        }
        m_dispatcher.serveLines();
    });
}

void gateway_role::onEndpointGone(const std::string &id, bool afterOutage)
{
    asio::post(m_loop, [this, id, afterOutage] {
        if (afterOutage) {
            scheduleRemoval(id);
        } else {
            m_endpoints.remove(id);
        }
    });
}

void gateway_role::scheduleRemoval(const std::string &id)
{
    auto &timer = m_removals[id];
    if (timer != nullptr) {
        return;
    }
    timer = std::make_unique<asio::steady_timer>(m_loop, removalDelay);
    timer->async_wait([this, id](const boost::system::error_code &code) {
        if (!code) {
            m_endpoints.remove(id);
            m_removals.erase(id);
        }
    });
}

void gateway_role::onDataCentre(const std::string &name, bool inService)
{
    asio::post(m_loop, [this, name, inService] { m_endpoints.setDataCentre(name, inService); });
}

void gateway_role::onListed()
{
    asio::post(m_loop, [this] {
        m_listed = true;
        logLine(log_level::info, "gateway", "endpoints listed", {{"endpoints", m_endpoints.size()}});
    });
}

void gateway_role::startCoordinator()
{
    if (!m_options.openStore || !m_options.openEngines) {
        return;
    }
    m_leaseStore = m_options.openStore();
    m_engines = m_options.openEngines(m_loop);
    m_lease = std::make_unique<coordinator_lease>(*m_leaseStore, coordinatorKey,
                                                  m_settings.node + "@" + m_settings.listen.peers.host,
                                                  request_id::generate(m_dispatcher.random()).toString());
    m_coordinator = std::make_unique<map_coordinator>(m_loop, m_endpoints, *m_engines, *m_lease);
    m_coordinator->setGroupsListener([this] { shareGroups(); });
    m_coordinator->start();
    m_noCoordinatorSince = boot_clock::now();
    watchCoordinator();
}

void gateway_role::watchCoordinator()
{
    m_leaseTimer.expires_after(coordinatorPoll);
    m_leaseTimer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        const time_point now = boot_clock::now();
        m_exchange.setCoordinates(m_lease->term(now) != 0);
        shareGroups();
        if (m_exchange.otherCoordinates()) {
            m_noCoordinatorSince = now;
        }
        // One after the other tries, so that a vacant lease costs the store few calls.
        const auto patience = coordinatorPatience + m_exchange.turn() * coordinatorTurn;
        m_lease->setWanted(!m_draining && now - m_noCoordinatorSince >= patience);
        watchCoordinator();
    });
}

void gateway_role::watchReach()
{
    m_reachTimer.expires_after(reachInterval);
    m_reachTimer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        const time_point now = boot_clock::now();
        const bool cutOff = m_exchange.cutOff();
        const bool fails = cutOff && m_endpoints.anyFails(now);
        if (m_redirect.update(cutOff, fails, now)) {
            logLine(log_level::warn, "gateway",
                    m_redirect.active() ? "callers are left to other data centres" : "callers are taken again",
                    {{"cut_off", cutOff}, {"service_fails", fails}});
            if (m_redirect.active()) {
                m_callers.closeIdle();
            }
        }
        watchReach();
    });
}

void gateway_role::shareGroups()
{
    m_exchange.setGroups(m_coordinator->groupStates());
    m_dispatcher.serveLines();
}

void gateway_role::refreshShares()
{
    const int gateways = m_exchange.gateways();
    if (gateways != m_gateways) {
        m_gateways = gateways;
        m_dispatcher.setGateways(gateways);
        if (m_table != nullptr) {
            m_endpoints.applyRouting(*m_table, gateways);
        }
    }
    if (m_dispatcher.waiting() > 0) {
        m_dispatcher.serveLines();
    }
}

caller_limits gateway_role::limits() const
{
    return m_table == nullptr ? caller_limits {} : m_table->limits();
}

bool gateway_role::closing() const
{
    return m_draining || m_redirect.active();
}

} // namespace bronzechute
