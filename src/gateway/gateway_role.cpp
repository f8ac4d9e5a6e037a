#include "gateway/gateway_role.h"

#include "balance/load_evenness.h"
#include "base/process_memory.h"
#include "base/request_id.h"
#include "gateway/event_loop.h"
#include "gateway/explain_query.h"
#include "gateway/gateway_exchange.h"
#include "gateway/message_head.h"
#include "gateway/request_explainer.h"
#include "gateway/request_matcher.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace bronzechute {

namespace asio = boost::asio;

namespace {

// Retry-After in seconds: another gateway, or this one shortly after, can serve the caller.
constexpr const char *rejectionRetryAfterSeconds = "0.2";
const std::string coordinatorKey = "bronzechute/expert-maps/coordinator";
const std::string quarantineKey = "bronzechute/quarantine/prompt-parts";
constexpr std::chrono::milliseconds coordinatorPollInterval {200};
constexpr std::chrono::milliseconds coordinatorAbsenceTimeout {700};
constexpr std::chrono::milliseconds campaignStagger {300};
// Requests fail until the gateway detects that it cannot serve them, so the check is frequent.
constexpr std::chrono::milliseconds reachabilityCheckInterval {100};
// At most one log line in this time tells of refused and closed callers, whatever their number.
constexpr std::chrono::milliseconds memoryCheckInterval {1000};
// The other half is for the program, its tables and what the allocator keeps between the blocks in use.
constexpr std::size_t heldMemoryDivisor = 2;
// Descriptors for files, the store, the engines' orders and the log.
constexpr std::size_t ownDescriptors = 200;
constexpr std::size_t statusConnections = 64;

/** @returns the highest of busiestOverMean() of all services. */
double leastEvenService(const endpoint_table &endpoints)
{
    std::map<std::string, std::vector<endpoint_view>> services;
    for (const auto &[id, endpoint] : endpoints.all()) {
        endpoint_view view;
        view.slots = endpoint->record.slots;
        view.running = endpoint->ownRunning + endpoint->peersRunning;
        services[endpoint->record.service].push_back(view);
    }
    double highest = 0;
    for (const auto &[service, views] : services) {
        highest = std::max(highest, busiestOverMean(views));
    }
    return highest;
}

memory_budget budgetOf(const daemon_settings &settings)
{
    return memory_budget((settings.memoryLimit == 0 ? machineMemory() : settings.memoryLimit) / heldMemoryDivisor);
}

/** @returns the limit of callers' connections; as many descriptors are left for those to endpoints. */
std::size_t maxCallers(const daemon_settings &settings)
{
    const std::size_t all = settings.maxDescriptors == 0 ? descriptorLimit() : settings.maxDescriptors;
    return (std::max(all, 2 * ownDescriptors) - ownDescriptors - statusConnections) / 2;
}

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
    role->updateFleet(boot_clock::now());
    role->startQuarantineRecord();
    role->startCoordinator();
    role->monitorReachability();
    role->monitorMemory();
    role->m_source = role->m_options.openSource(*role, role->m_storeRelay);
    role->m_thread = std::thread([loop = &role->m_loop] { runEventLoop(*loop); });
    return role;
}

gateway_role::gateway_role(const daemon_settings &settings, gateway_options options)
    : m_settings(settings)
    , m_options(std::move(options))
    , m_memory(budgetOf(settings))
    , m_work(m_loop.get_executor())
    , m_metrics(m_registry)
    , m_endpoints(settings.dataCentre)
    , m_dispatcher(m_loop, m_endpoints, settings.gateway.repeats, std::random_device()())
    , m_guard(m_loop, m_metrics)
    , m_context {m_loop, m_options.headers, m_endpoints, m_dispatcher, m_metrics, m_redirect, m_guard, m_memory}
    , m_storeRelay(m_dispatcher.random()())
    , m_loadExchange(m_loop, settings.listen.peers.host, settings.listen.peers.port, settings.node, settings.dataCentre,
                     hostsOf(settings.gateway.seeds), m_endpoints, m_guard, [this] { updateGatewayShares(); })
    , m_status(*this)
    , m_callers(m_loop, *this, *this, m_memory, maxCallers(settings))
    , m_statusListener(m_loop, m_status, *this, m_memory, statusConnections)
    , m_drain(m_loop, *this)
    , m_leasePollTimer(m_loop)
    , m_reachabilityTimer(m_loop)
    , m_memoryTimer(m_loop)
{
    m_guard.setListeners([this] { m_loadExchange.sendReport(); },
                         [this] {
                             if (m_quarantineRecord != nullptr) {
                                 m_quarantineRecord->save(m_guard.evidence());
                             }
                         });
    m_loadExchange.setStoreRelay(m_storeRelay);
    m_storeRelay.setWake([this] { asio::post(m_loop, [this] { m_loadExchange.sendReport(); }); });
    m_dispatcher.setFleetView(&m_loadExchange);
    m_loadExchange.setQueueSource([this] { return m_dispatcher.summaries(); });
    registerGauges();
    registerStoreGauges();
}

gateway_role::~gateway_role()
{
    // The event loop uses the others; their threads only post to it.
    m_work.reset();
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_source.reset();
    m_lease.reset();
    m_quarantineRecord.reset();
}

void gateway_role::registerGauges()
{
    m_registry.gauge("bronzechute_gateway_ready", "", "Whether the gateway takes callers.",
                     [this] { return m_drain.begun() ? 0.0 : 1.0; });
    const auto countEndpoints = [this](auto condition) {
        return [this, condition] {
            const time_point now = boot_clock::now();
            return static_cast<double>(std::ranges::count_if(
                m_endpoints.all(), [&](const auto &entry) { return condition(*entry.second, now); }));
        };
    };
    m_registry.gauge("bronzechute_gateway_unproven_endpoints", "",
                     "Endpoints that are not known to be warm and get requests at their cold rate.",
                     countEndpoints([](const gateway_endpoint &endpoint, time_point now) {
                         return !endpoint_table::isWarm(endpoint, now);
                     }));
    m_registry.gauge("bronzechute_gateway_cold_permits", "",
                     "Endpoints that this gateway may send requests to while they are cold.",
                     countEndpoints([](const gateway_endpoint &endpoint, time_point) { return endpoint.mayWarm; }));
    m_loadExchange.registerMetrics(m_registry);
    m_registry.gauge("bronzechute_gateway_busiest_over_mean", "",
                     "Highest slot utilization of an endpoint over the mean, of the least even service; 0 if idle.",
                     [this] { return leastEvenService(m_endpoints); });
    const auto add = [this](const std::string &name, const std::string &help, auto read) {
        m_registry.gauge("bronzechute_gateway_" + name, "", help, [read] { return static_cast<double>(read()); });
    };
    add("callers_back", "Requests of callers that were refused before.",
        [this] { return m_dispatcher.shareCounts().cameBack; });
    add("refused_again", "Requests refused of callers that were refused before.",
        [this] { return m_dispatcher.shareCounts().refusedAgain; });
    add("places_kept", "Requests of callers that were refused before, started from the place kept for them.",
        [this] { return m_dispatcher.shareCounts().places; });
    add("order_inversions", "Requests started while one at another gateway had waited longer.",
        [this] { return m_dispatcher.shareCounts().inversions; });
    add("priority_turns", "Requests started before more urgent ones that waited, as it was their turn.",
        [this] { return m_dispatcher.shareCounts().turns; });
    add("accounts_over_share", "Accounts that have had more than their share of too little room.",
        [this] { return m_dispatcher.accountsOverShare(); });
    add("fairness", "Jain's index of the accounts' served share of what they asked for, of the least fair service.",
        [this] { return m_dispatcher.fairness(); });
    add("retries_refused", "Retries that the retry budget did not allow.",
        [this] { return m_dispatcher.refusedRetries(); });
    add("held_bytes", "Bytes held for callers and endpoints.", [this] { return m_memory.used(); });
    add("held_bytes_limit", "Limit of the bytes held for callers and endpoints.", [this] { return m_memory.limit(); });
    add("memory_refusals", "Requests refused, since memory was short.", [this] { return m_memory.refused(); });
    add("memory_given_back", "Requests refused and connections closed, to make room for others.",
        [this] { return m_memory.givenBack(); });
    add("connections_displaced", "Connections closed because there were too many.",
        [this] { return m_callers.displaced() + m_statusListener.displaced(); });
}

void gateway_role::registerStoreGauges()
{
    const auto add = [this](const std::string &name, const std::string &help, auto read) {
        m_registry.gauge("bronzechute_gateway_store_" + name, "", help,
                         [this, read] { return static_cast<double>(read(m_storeRelay.counts())); });
    };
    add("reads", "Answers of the store to the gateway's own watch.",
        [](const store_relay_counts &counts) { return counts.ownReads; });
    add("relayed_changes", "Messages with changes of the store that came from another gateway.",
        [](const store_relay_counts &counts) { return counts.relayed; });
    add("relay_gaps", "Times that changes were missing, so that the gateway read the store once.",
        [](const store_relay_counts &counts) { return counts.gaps; });
    add("relay_losses", "Times that no other gateway watched the store for this one any more.",
        [](const store_relay_counts &counts) { return counts.losses; });
    add("relayed", "Whether another gateway watches the store for this one.",
        [](const store_relay_counts &counts) { return counts.isFollowing; });
}

void gateway_role::monitorMemory()
{
    m_memoryTimer.expires_after(memoryCheckInterval);
    m_memoryTimer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        const std::uint64_t displaced = m_callers.displaced() + m_statusListener.displaced();
        const std::uint64_t refusals = m_memory.refused() + m_memory.givenBack() + displaced;
        if (refusals != m_reportedRefusals) {
            m_reportedRefusals = refusals;
            logLine(log_level::warn, "gateway", "callers refused or closed to stay within the limits",
                    {{"held_bytes", m_memory.used()},
                     {"held_bytes_limit", m_memory.limit()},
                     {"refused", m_memory.refused()},
                     {"given_back", m_memory.givenBack()},
                     {"displaced", displaced}});
        }
        const bool isHeld = m_memory.used() > m_memory.limit() / 4;
        if (m_memoryHeld && !isHeld) {
            returnFreedMemory();
        }
        m_memoryHeld = isHeld;
        monitorMemory();
    });
}

result<void> gateway_role::listen()
{
    const auto failure = [](const boost::system::error_code &code, const socket_address &address) {
        return error {errc::unavailable, "listen", address.toString(), code.message()};
    };
    if (const auto code = m_statusListener.start(m_settings.gateway.status)) {
        return failure(code, m_settings.gateway.status);
    }
    if (const auto code = m_loadExchange.start()) {
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
    return m_drain.run(m_settings.drainTimeout);
}

void gateway_role::beginDrain()
{
    m_callers.closeIdle();
    if (m_coordinator != nullptr) {
        m_coordinator->stop();
    }
}

void gateway_role::stopTaking()
{
    m_callers.stop();
}

std::size_t gateway_role::inProgress()
{
    const bool switching = m_coordinator != nullptr && m_coordinator->switching();
    if (m_lease != nullptr && !switching) {
        m_lease->stop();
    }
    if (!m_drain.takesRequests()) {
        m_callers.closeIdle(true);
    }
    return m_callers.busyCount() + (switching ? 1 : 0);
}

void gateway_role::endRequests()
{
    m_dispatcher.close(); // First, so that no slot that becomes free is given to a request that waits.
    m_callers.endRequests();
}

void gateway_role::reload(const daemon_settings &settings)
{
    daemon_settings adopted = m_settings;
    adopted.gateway.seeds = settings.gateway.seeds;
    adopted.gateway.repeats = settings.gateway.repeats;
    adopted.drainTimeout = settings.drainTimeout;
    adopted.logLevel = settings.logLevel;
    if (adopted != settings) {
        logLine(log_level::warn, "gateway", "some changed settings take effect only after a restart", {});
    }
    m_settings = adopted;
    asio::post(m_loop, [this, seeds = hostsOf(settings.gateway.seeds), repeats = settings.gateway.repeats] {
        m_loadExchange.setSeeds(seeds);
        m_dispatcher.setRetryLimits(repeats);
    });
}

bool gateway_role::refuses(const gateway_request &head)
{
    const auto matched = matchRequest(head, m_table, m_options.headers, m_dispatcher.random());
    return !m_drain.takesRequests() || std::holds_alternative<request_rejection>(matched);
}

std::shared_ptr<running_exchange> gateway_role::handle(gateway_request request,
                                                       std::shared_ptr<caller_response> response)
{
    auto matched = matchRequest(request, m_table, m_options.headers, m_dispatcher.random());
    if (auto *plan = std::get_if<exchange_plan>(&matched)) {
        plan->isCallerRetry = m_retryDetectors[plan->matched->name].isRetry(
            std::chrono::duration_cast<std::chrono::milliseconds>(plan->callerDeadline - request.arrivedAt));
        if (!m_drain.takes(*plan, request.arrivedAt)) {
            matched = request_rejection {statusServiceUnavailable, "gateway is shutting down"};
        }
    }
    if (const auto *rejection = std::get_if<request_rejection>(&matched)) {
        reject(request, *rejection, *response);
        return nullptr;
    }
    const auto exchange = std::make_shared<gateway_exchange>(
        m_context, std::move(request), std::get<exchange_plan>(std::move(matched)), std::move(response));
    exchange->start();
    return exchange->ended() ? nullptr : exchange;
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
    response_head head {rejection.status, reasonOf(rejection.status), {}};
    if (rejection.status == statusServiceUnavailable) {
        head.headers.emplace_back("Retry-After", rejectionRetryAfterSeconds);
    }
    response.respond(head, {});
}

std::shared_ptr<running_exchange> gateway_role::status_handler::handle(gateway_request request,
                                                                       std::shared_ptr<caller_response> response)
{
    const std::string_view path = request.path();
    if (path == m_role.m_options.headers.readyPath) {
        const int status = m_role.ready() ? statusOk : statusServiceUnavailable;
        response->respond({status, reasonOf(status), {}}, {});
    } else if (path == "/metrics") {
        response->respond({statusOk, reasonOf(statusOk), {{"Content-Type", "text/plain; version=0.0.4"}}},
                          m_role.m_registry.render());
    } else if (path == explainPath) {
        m_role.explain(std::string_view(request.target).substr(std::min(request.target.size(), path.size() + 1)),
                       *response);
    } else {
        response->respond({statusNotFound, reasonOf(statusNotFound), {}}, {});
    }
    return nullptr;
}

void gateway_role::explain(std::string_view query, caller_response &response) const
{
    const auto answer = [&response](int status, const nlohmann::json &body) {
        response.respond({status, reasonOf(status), {{"Content-Type", "application/json"}}},
                         body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    };
    const time_point now = boot_clock::now();
    const auto request = parseExplainQuery(query, now);
    if (!request) {
        answer(statusBadRequest, {{"error", {{"message", request.error().detail}}}});
        return;
    }
    std::mt19937_64 random(std::random_device {}()); // The draws of callers' requests stay as they are.
    auto matched = matchRequest(request.value(), m_table, m_options.headers, random);
    if (const auto *plan = std::get_if<exchange_plan>(&matched); plan != nullptr && !m_drain.takes(*plan, now)) {
        matched = request_rejection {statusServiceUnavailable, "gateway is shutting down"};
    }
    request_explanation explanation;
    if (const auto *rejection = std::get_if<request_rejection>(&matched)) {
        explanation.decision = "rejected";
        explanation.status = rejection->status;
        explanation.cause = rejection->cause;
    } else {
        explanation = request_explainer(m_context).explain(std::get<exchange_plan>(matched), now, now);
    }
    answer(statusOk, toJson(explanation));
}

bool gateway_role::ready() const
{
    return m_table != nullptr && m_initialListComplete && !m_drain.begun() && !m_redirect.active();
}

void gateway_role::onRouting(std::shared_ptr<const routing_table> table)
{
    asio::post(m_loop, [this, table = std::move(table)]() mutable { applyRoutingTable(std::move(table)); });
}

void gateway_role::applyRoutingTable(std::shared_ptr<const routing_table> table)
{
    if (m_table != nullptr && table->version() < m_table->version()) {
        logLine(log_level::warn, "gateway", "ignored a routing configuration older than the current one",
                {{"version", table->version()}, {"in_force", m_table->version()}});
        return;
    }
    if (m_table == nullptr || m_table->version() != table->version()) {
        logLine(log_level::info, "gateway", "routing configuration applied",
                {{"version", table->version()},
                 {"before", m_table == nullptr ? 0 : m_table->version()},
                 {"routes", table->document().routes.size()},
                 {"accounts", table->document().accounts.size()},
                 {"keys_required", table->requiresKeys()}});
    }
    m_table = std::move(table);
    std::set<std::string_view> names;
    for (const route &known : m_table->document().routes) {
        names.insert(known.name);
    }
    std::erase_if(m_retryDetectors, [&names](const auto &entry) { return !names.contains(entry.first); });
    m_endpoints.applyRouting(*m_table, m_loadExchange.gateways());
    if (m_coordinator != nullptr) {
        m_coordinator->setRouting(m_table);
    }
}

void gateway_role::onEndpoint(const endpoint_record &record)
{
    asio::post(m_loop, [this, record] {
        for (const endpoint_run &ended : m_endpoints.update(record)) {
            m_guard.onRestart(ended);
        }
        m_dispatcher.serveQueues();
    });
}

void gateway_role::onEndpointGone(const std::string &id)
{
    asio::post(m_loop, [this, id] { m_endpoints.remove(id); });
}

void gateway_role::onDataCentre(const std::string &name, bool inService)
{
    asio::post(m_loop, [this, name, inService] { m_endpoints.setDataCentre(name, inService); });
}

void gateway_role::onInitialListComplete()
{
    asio::post(m_loop, [this] {
        m_initialListComplete = true;
        m_endpoints.setInitialListComplete();
        logLine(log_level::info, "gateway", "initial list of endpoints complete", {{"endpoints", m_endpoints.size()}});
    });
}

void gateway_role::startQuarantineRecord()
{
    if (!m_options.openStore) {
        return;
    }
    m_quarantineStore = m_options.openStore();
    m_quarantineRecord =
        std::make_unique<quarantine_record>(*m_quarantineStore, quarantineKey, [this](const crash_evidence &kept) {
            asio::post(m_loop, [this, kept] { m_guard.merge(kept); });
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
    m_coordinator->setGroupsListener([this] { publishGroupStates(); });
    m_coordinator->start();
    m_coordinatorAbsentSince = boot_clock::now();
    pollCoordinatorLease();
}

void gateway_role::pollCoordinatorLease()
{
    m_leasePollTimer.expires_after(coordinatorPollInterval);
    m_leasePollTimer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        const time_point now = boot_clock::now();
        m_loadExchange.setIsCoordinator(m_lease->term(now) != 0);
        publishGroupStates();
        if (m_loadExchange.peerIsCoordinator()) {
            m_coordinatorAbsentSince = now;
        }
        // Gateways campaign one after the other, so that a vacant lease causes few calls to the store.
        const auto campaignDelay = coordinatorAbsenceTimeout + m_loadExchange.campaignOrder() * campaignStagger;
        m_lease->setCampaigning(!m_drain.begun() && now - m_coordinatorAbsentSince >= campaignDelay);
        pollCoordinatorLease();
    });
}

void gateway_role::monitorReachability()
{
    m_reachabilityTimer.expires_after(reachabilityCheckInterval);
    m_reachabilityTimer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        const time_point now = boot_clock::now();
        updateFleet(now);
        const bool isPartitioned = m_loadExchange.isPartitioned();
        const bool serviceFailing = isPartitioned && m_endpoints.anyServiceFailing(now);
        if (m_redirect.update(isPartitioned, serviceFailing, now)) {
            logLine(log_level::warn, "gateway",
                    m_redirect.active() ? "redirecting callers to other data centres" : "accepting callers again",
                    {{"cut_off", isPartitioned}, {"service_fails", serviceFailing}});
            if (m_redirect.active()) {
                m_callers.closeIdle();
            }
        }
        monitorReachability();
    });
}

void gateway_role::publishGroupStates()
{
    m_loadExchange.setGroups(m_coordinator->groupStates());
    m_dispatcher.serveQueues();
}

void gateway_role::updateGatewayShares()
{
    const int gateways = m_loadExchange.gateways();
    if (gateways != m_gatewayCount) {
        m_gatewayCount = gateways;
        m_dispatcher.setGateways(gateways);
        if (m_table != nullptr) {
            m_endpoints.applyRouting(*m_table, gateways);
        }
    }
    if (m_dispatcher.queueDepth() > 0) {
        m_dispatcher.serveQueues();
    }
}

void gateway_role::updateFleet(time_point now)
{
    gateway_fleet fleet;
    fleet.self = m_loadExchange.self();
    fleet.members = m_loadExchange.members(now);
    fleet.expectedCount = m_loadExchange.expectedGateways();
    fleet.discovered = m_loadExchange.isDiscovered(now);
    m_fleetSize.record(static_cast<int>(fleet.members.size()), now);
    fleet.highestCount = m_fleetSize.value();
    if (fleet == m_fleet) {
        return;
    }
    logLine(log_level::info, "gateway", "gateways that share bounds changed",
            {{"before", m_fleet.members.size()},
             {"now", fleet.members.size()},
             {"highest", fleet.highestCount},
             {"expected", fleet.expectedCount},
             {"discovered", fleet.discovered}});
    m_fleet = std::move(fleet);
    m_endpoints.setFleet(m_fleet);
    m_dispatcher.setFleet(m_fleet);
}

caller_limits gateway_role::limits() const
{
    return m_table == nullptr ? caller_limits {} : m_table->limits();
}

bool gateway_role::closing() const
{
    return m_drain.begun() || m_redirect.active();
}

} // namespace bronzechute
