#include "entry/entry_role.h"

#include "node/server_options.h"
#include "observe/log.h"
#include "store/batching_store.h"
#include "store/etcd_store.h"
#include "store/store_configuration_repository.h"
#include "wire/frame_attempt.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds drainPollInterval {20};
constexpr std::size_t maxConfigurationBytes = std::size_t {1024} * 1024;
constexpr std::size_t maxAdminConnections = 16;
constexpr const char *sessionHeader = "X-Bronzechute-Session";
constexpr const char *versionHeader = "X-Version";

/** Session header value that discards the caller's session, for example after a service lost its state. */
constexpr const char *sessionResetValue = "new";

} // namespace

entry_role::entry_role(const daemon_settings &settings, const hello_frame &self)
    : m_settings(settings)
    , m_self(self)
    , m_entryMetrics(m_metrics)
    , m_directory(settings, m_configuration)
    , m_tracer(std::make_shared<log_tracer>(std::random_device {}()))
    , m_dispatcher(m_directory, m_pending, m_configuration, m_entryMetrics)
    , m_exchange(m_configuration, [this] { m_hub->sendHeartbeats(); })
    , m_health(m_metrics,
               [this] {
                   const std::size_t usable = m_directory.usableCount(boot_clock::now());
                   const std::int64_t revision = m_configuration.current()->revision;
                   const bool ready = !m_draining && usable > 0 && revision > 0;
                   return std::pair(ready,
                                    nlohmann::json {{"role", "entry"},
                                                    {"node", m_settings.node},
                                                    {"data_centre", m_settings.dataCentre},
                                                    {"ready", ready},
                                                    {"draining", m_draining.load()},
                                                    {"usable_endpoints", usable},
                                                    {"pending", m_pending.size()},
                                                    {"revision", revision}});
               })
    , m_random(std::random_device {}())
{
    m_metrics.gauge("bronzechute_pending", "", "Callers' requests under way.",
                    [this] { return static_cast<double>(m_pending.size()); });
    m_metrics.gauge("bronzechute_usable_endpoints", "", "Endpoints that take work now.",
                    [this] { return static_cast<double>(m_directory.usableCount(boot_clock::now())); });
    m_metrics.gauge("bronzechute_configuration_revision", "", "Revision of the configuration in force.",
                    [this] { return static_cast<double>(m_configuration.current()->revision); });
}

result<std::unique_ptr<entry_role>> entry_role::start(const daemon_settings &settings, const hello_frame &self)
{
    std::unique_ptr<entry_role> role(new entry_role(settings, self));
    link_options options;
    options.self = self;
    auto hub = link_hub::create(options, settings.listen.peers, *role);
    if (!hub) {
        return hub.error();
    }
    role->m_hub = std::move(hub.value());
    auto serverOptions = makeServerOptions(settings, settings.listen.http);
    if (!serverOptions) {
        return serverOptions.error();
    }
    role->connectStore();
    auto server = http_server::start(serverOptions.value(), *role);
    if (!server) {
        return server.error();
    }
    role->m_server = std::move(server.value());
    role->m_hub->open();
    for (const listed_vm &endpoint : role->m_directory.known()) {
        role->m_hub->dial(endpoint.name, endpoint.address);
    }
    for (const peer_settings &peer : settings.peers) {
        role->m_hub->dial(peer.name, peer.address.toString());
    }
    role->watchStore();
    if (auto started = role->startAdmin(); !started) {
        return started.error();
    }
    return role;
}

void entry_role::onVmList(const vm_list::snapshot &vms)
{
    std::vector<listed_vm> endpoints;
    for (const vm &each : *vms) {
        if (each.role == vm_role::endpoint) {
            endpoints.push_back({each.name, each.address, each.state == vm_state::leaving});
        }
    }
    for (const std::string &forgotten : m_directory.onVmList(endpoints, boot_clock::now())) {
        m_hub->forget(forgotten);
    }
    for (const listed_vm &endpoint : m_directory.known()) {
        m_hub->dial(endpoint.name, endpoint.address);
    }
}

result<void> entry_role::startAdmin()
{
    if (!m_settings.listen.admin || m_store == nullptr) {
        return success();
    }
    m_repository = std::make_unique<store_configuration_repository>(*m_store, std::random_device {}());
    m_admin = std::make_unique<admin_api>(*m_repository, *this);
    auto options = makeServerOptions(m_settings, *m_settings.listen.admin);
    if (!options) {
        return options.error();
    }
    // Accept a configuration document as large as the largest value of the store.
    options.value().bodyLimit = maxConfigurationBytes;
    options.value().maxConnections = std::min(options.value().maxConnections, maxAdminConnections);
    auto server = http_server::start(options.value(), *m_admin);
    if (!server) {
        return server.error();
    }
    m_adminServer = std::move(server.value());
    return success();
}

nlohmann::json entry_role::status()
{
    const time_point now = boot_clock::now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_configuration.appliedAt());
    return {{"node", m_settings.node},
            {"role", "entry"},
            {"data_centre", m_settings.dataCentre},
            {"revision", m_configuration.current()->revision},
            {"configuration_age_ms", age.count()},
            {"pending", m_pending.size()},
            {"endpoints", m_directory.describe(now)}};
}

void entry_role::connectStore()
{
    if (!m_settings.storeEndpoints.empty()) {
        etcd_store_options options;
        options.endpoints = m_settings.storeEndpoints;
        options.callTimeout = m_settings.storeTimeout;
        m_store = std::make_unique<etcd_store>(options);
        m_incarnationLease =
            std::make_unique<incarnation_lease>(*m_store, m_self.node + "-" + std::to_string(m_self.incarnation));
        m_claimStore = std::make_unique<batching_store>(*m_store);
        m_claims = std::make_unique<claim_registry>(*m_claimStore, *m_incarnationLease, std::random_device {}());
    }
    m_guard = std::make_unique<idempotency_guard>(m_dispatcher, m_claims.get());
}

void entry_role::watchStore()
{
    m_subscription = m_configuration.subscribe([this](const configuration_ptr &current) {
        logLine(log_level::info, "configuration", "configuration in force",
                {{"revision", current->revision}, {"author", current->author}});
        m_exchange.publish();
    });
    if (m_store == nullptr) {
        return;
    }
    m_watcher = std::make_unique<configuration_watcher>(*m_store, m_configuration, std::random_device {}());
    const auto addAlarmGauge = [this](const char *reason, std::int64_t configuration_watcher_counts::*count) {
        m_metrics.gauge("bronzechute_store_alarms", "reason=\"" + std::string(reason) + "\"",
                        "Times that the store's configuration was not what this process had accepted.",
                        [this, count] { return static_cast<double>(m_watcher->counts().*count); });
    };
    m_metrics.gauge("bronzechute_store_contact_age_seconds", "",
                    "Seconds since the store last answered, or since the start when it never did.",
                    [this, startedAt = boot_clock::now()] {
                        const auto age = boot_clock::now() - m_watcher->lastContact().value_or(startedAt);
                        return std::chrono::duration<double>(age).count();
                    });
    addAlarmGauge("behind", &configuration_watcher_counts::storeBehind);
    addAlarmGauge("diverged", &configuration_watcher_counts::storeDiverged);
    addAlarmGauge("unreadable", &configuration_watcher_counts::unreadable);
    addAlarmGauge("written_back", &configuration_watcher_counts::writtenBack);
    m_vmList = std::make_unique<vm_list>(*m_store, [this](const vm_list::snapshot &vms) { onVmList(vms); });
}

entry_role::~entry_role()
{
    m_server.reset();
    m_adminServer.reset();
    m_vmList.reset();
    m_watcher.reset();
    m_configuration.unsubscribe(m_subscription);
    m_hub.reset();
}

std::string entry_role::addresses() const
{
    return "http=" + m_settings.listen.http.host + ":" + std::to_string(m_server->port())
        + " peers=" + m_settings.listen.peers.host + ":" + std::to_string(m_hub->port())
        + (m_adminServer == nullptr
               ? ""
               : " admin=" + m_settings.listen.admin->host + ":" + std::to_string(m_adminServer->port()));
}

bool entry_role::drain()
{
    m_draining = true;
    m_server->quiesce();
    const time_point deadline = boot_clock::now() + m_settings.drainTimeout;
    while (m_server->activeRequests() > 0 && boot_clock::now() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    return m_server->activeRequests() == 0;
}

void entry_role::onUp(const link_ptr &connection)
{
    logLine(log_level::info, "link", "connection is up",
            {{"peer", connection->peer().node}, {"address", connection->address()}});
    m_exchange.onUp(connection);
    if (connection->peer().role != "endpoint") {
        const std::scoped_lock lock(m_entriesMutex);
        m_entries.push_back(connection);
        return;
    }
    m_directory.onUp(connection);
    for (const auto &pending : m_pending.all()) {
        pending->onUp(connection);
    }
}

void entry_role::onDown(const link_ptr &connection, const std::string &reason)
{
    logLine(log_level::warn, "link", "connection is down",
            {{"peer", connection->peer().node}, {"address", connection->address()}, {"reason", reason}});
    m_exchange.onDown(connection);
    m_directory.onDown(connection);
    {
        const std::scoped_lock lock(m_entriesMutex);
        std::erase(m_entries, connection);
    }
    for (const auto &pending : m_pending.all()) {
        pending->onDown(connection, boot_clock::now());
    }
}

void entry_role::onFrame(const link_ptr &connection, frame message)
{
    if (const auto *heartbeat = std::get_if<heartbeat_frame>(&message)) {
        m_exchange.onPeerRevision(connection, heartbeat->revision);
        if (heartbeat->status) {
            m_directory.onHeartbeat(connection, *heartbeat->status, boot_clock::now());
        }
        return;
    }
    if (const auto *push = std::get_if<config_push_frame>(&message)) {
        m_exchange.onPush(connection, *push);
        return;
    }
    if (const auto *session = std::get_if<session_frame>(&message)) {
        m_sessions.record(session->account, session->service, {session->endpoint, session->version}, boot_clock::now());
        return;
    }
    onAnswerFrame(message);
}

void entry_role::onAnswerFrame(const frame &message)
{
    const auto attempt = frameAttemptId(message);
    if (!attempt) {
        return;
    }
    if (const auto pending = m_pending.find(attempt->request)) {
        pending->onFrame(message);
    }
}

heartbeat_frame entry_role::makeHeartbeat()
{
    heartbeat_frame heartbeat;
    heartbeat.revision = m_configuration.current()->revision;
    return heartbeat;
}

request_id entry_role::newRequestId()
{
    const std::scoped_lock lock(m_randomMutex);
    return request_id::generate(m_random);
}

std::optional<read_session> entry_role::sessionOf(const http_request &request, const caller_request &classified)
{
    if (!classified.readYourWrites) {
        return std::nullopt;
    }
    const std::string header = findHeader(request.headers, sessionHeader).value_or("");
    if (header == sessionResetValue) {
        m_sessions.forget(classified.account, classified.service);
        return std::nullopt;
    }
    const auto carried = read_session::parse(header);
    const auto known = m_sessions.find(classified.account, classified.service, boot_clock::now());
    if (carried && known) {
        return carried->version >= known->version ? carried : known;
    }
    return carried ? carried : known;
}

void entry_role::recordSession(const caller_request &request, http_reply &reply)
{
    if (!request.readYourWrites || !findHeader(reply.headers, versionHeader)) {
        return;
    }
    const auto session = read_session::parse(findHeader(reply.headers, sessionHeader).value_or(""));
    if (!session || !m_sessions.record(request.account, request.service, *session, boot_clock::now())) {
        return;
    }
    std::vector<link_ptr> entries;
    {
        const std::scoped_lock lock(m_entriesMutex);
        entries = m_entries;
    }
    for (const link_ptr &connection : entries) {
        connection->send(session_frame {request.account, request.service, session->endpoint, session->version});
    }
}

http_reply entry_role::handle(const http_request &request)
{
    if (auto health = m_health.tryHandle(request)) {
        return *health;
    }
    if (request.path == "/v1/models") {
        return listModels(request);
    }
    const request_id id = newRequestId();
    const configuration_ptr current = m_configuration.current();
    auto classified = m_classifier.classify(request, current->content);
    if (const auto *failure = std::get_if<api_error>(&classified)) {
        m_entryMetrics.rejected.add();
        return failure->toReply(id.toString());
    }
    request_context context;
    context.request = std::move(std::get<caller_request>(classified));
    context.pending = std::make_shared<pending_request>(id);
    context.client = request.connection;
    context.arrivedAt = boot_clock::now();
    context.deadline = context.arrivedAt + context.request.deadline;
    context.request.session = sessionOf(request, context.request);
    context.span = startSpan(*m_tracer, "entry.request", findHeader(request.headers, "traceparent").value_or(""));
    const caller_request callerRequest = context.request;
    http_reply reply = m_guard->run(std::move(context));
    recordSession(callerRequest, reply);
    return reply;
}

http_reply entry_role::listModels(const http_request &request)
{
    const configuration_ptr current = m_configuration.current();
    const auto authenticated = m_classifier.authenticate(request, current->content);
    if (const auto *failure = std::get_if<api_error>(&authenticated)) {
        return failure->toReply(newRequestId().toString());
    }
    std::set<std::string> names;
    for (const endpoint_pool &pool : current->content.pools) {
        if (pool.kind == endpoint_kind::model) {
            names.insert(pool.model);
        }
    }
    nlohmann::json models = nlohmann::json::array();
    for (const std::string &name : names) {
        models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "bronzechute"}});
    }
    const nlohmann::json body {{"object", "list"}, {"data", models}};
    return {200, {{"Content-Type", "application/json"}}, body.dump() + "\n", nullptr};
}

} // namespace bronzechute
