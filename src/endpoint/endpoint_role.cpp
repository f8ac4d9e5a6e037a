#include "endpoint/endpoint_role.h"

#include "link/send_batch.h"
#include "node/server_options.h"
#include "observe/log.h"
#include "policy/adaptive_limiter.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds maintenanceInterval {20};
constexpr std::chrono::milliseconds probeInterval {500};

std::shared_ptr<http_back_end> makeEngine(const daemon_settings &settings)
{
    http_back_end_options options;
    options.targetKind = settings.endpoint.kind == endpoint_kind::model ? http_back_end_options::kind::engine
                                                                        : http_back_end_options::kind::service;
    options.baseUrl = settings.endpoint.engineUrl;
    // The head, data and end of a short answer arrive in one iteration of the transfer loop; send them in one write.
    const auto batchWrites = [](const std::function<void()> &iteration) {
        const send_batch batch;
        iteration();
    };
    return std::make_shared<http_back_end>(options, std::make_shared<transfer_loop>(batchWrites));
}

std::unique_ptr<admission_limiter> makeLimiter(const daemon_settings &settings)
{
    limiter_settings limits;
    limits.maximum = settings.endpoint.maxConcurrency;
    return std::make_unique<adaptive_limiter>(limits);
}

} // namespace

endpoint_role::endpoint_role(const daemon_settings &settings)
    : m_settings(settings)
    , m_engine(makeEngine(settings))
    , m_admission(settings, m_engine, makeLimiter(settings), m_configuration, m_metrics)
    , m_exchange(m_configuration,
                 [this] {
                     m_admission.onConfiguration(boot_clock::now());
                     m_hub->sendHeartbeats();
                 })
    , m_health(m_metrics, [this] {
        const endpoint_status status = m_admission.status(boot_clock::now());
        const bool serving = status.state == serving_state::serving;
        return std::pair(serving,
                         nlohmann::json {{"role", "endpoint"},
                                         {"node", m_settings.node},
                                         {"data_centre", m_settings.dataCentre},
                                         {"serving", serving},
                                         {"cold", status.cold},
                                         {"in_flight", status.inFlight},
                                         {"limit", status.limit},
                                         {"queued", status.queued},
                                         {"revision", m_configuration.current()->revision}});
    })
{
    const auto read = [this](auto field) {
        return [this, field] {
            return static_cast<double>(m_admission.status(boot_clock::now()).*field);
        };
    };
    m_metrics.gauge("bronzechute_in_flight", "", "Requests at the engine.", read(&endpoint_status::inFlight));
    m_metrics.gauge("bronzechute_limit", "", "Requests that may be at the engine now.", read(&endpoint_status::limit));
    m_metrics.gauge("bronzechute_queued", "", "Requests that wait for the engine.", read(&endpoint_status::queued));
    m_metrics.gauge("bronzechute_cold", "", "1 while the cold-start cap applies.", read(&endpoint_status::cold));
    m_metrics.gauge("bronzechute_configuration_revision", "", "Revision of the configuration in force.",
                    [this] { return static_cast<double>(m_configuration.current()->revision); });
}

result<std::unique_ptr<endpoint_role>> endpoint_role::start(const daemon_settings &settings, const hello_frame &self)
{
    std::unique_ptr<endpoint_role> role(new endpoint_role(settings));
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
    auto server = http_server::start(serverOptions.value(), role->m_health);
    if (!server) {
        return server.error();
    }
    role->m_server = std::move(server.value());
    role->m_hub->open();
    role->m_maintenanceThread = std::thread([raw = role.get()] { raw->maintain(); });
    role->m_probeThread = std::thread([raw = role.get()] { raw->probe(); });
    return role;
}

endpoint_role::~endpoint_role()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_wakeup.notify_all();
    }
    if (m_maintenanceThread.joinable()) {
        m_maintenanceThread.join();
    }
    if (m_probeThread.joinable()) {
        m_probeThread.join();
    }
    m_server.reset();
    m_hub.reset();
}

std::string endpoint_role::addresses() const
{
    return "http=" + m_settings.listen.http.host + ":" + std::to_string(m_server->port())
        + " peers=" + m_settings.listen.peers.host + ":" + std::to_string(m_hub->port());
}

bool endpoint_role::drain()
{
    m_admission.stopAccepting(boot_clock::now());
    m_hub->sendHeartbeats();
    const time_point deadline = boot_clock::now() + m_settings.drainTimeout;
    while (m_admission.unfinishedCount() > 0 && boot_clock::now() < deadline) {
        std::this_thread::sleep_for(maintenanceInterval);
    }
    return m_admission.unfinishedCount() == 0;
}

bool endpoint_role::waitFor(std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    return !m_wakeup.wait_for(lock, duration, [this] { return m_stopping; });
}

void endpoint_role::maintain()
{
    while (waitFor(maintenanceInterval)) {
        m_admission.maintain(boot_clock::now());
    }
}

void endpoint_role::probe()
{
    bool reachable = false;
    do {
        const back_end_load load = m_engine->probe();
        m_admission.onLoadReport(load, boot_clock::now());
        if (load.reachable != reachable) {
            reachable = load.reachable;
            m_hub->sendHeartbeats();
        }
    } while (waitFor(probeInterval));
}

void endpoint_role::onUp(const link_ptr &connection)
{
    logLine(log_level::info, "link", "connection is up",
            {{"peer", connection->peer().node}, {"address", connection->address()}});
    m_exchange.onUp(connection);
    m_hub->sendHeartbeats();
}

void endpoint_role::onFrame(const link_ptr &connection, frame message)
{
    const time_point now = boot_clock::now();
    if (const auto *submit = std::get_if<submit_frame>(&message)) {
        m_admission.onSubmit(connection, *submit, now);
    } else if (const auto *credit = std::get_if<credit_frame>(&message)) {
        m_admission.onCredit(*credit);
    } else if (const auto *cancel = std::get_if<cancel_frame>(&message)) {
        m_admission.onCancel(connection, *cancel, now);
    } else if (const auto *resume = std::get_if<resume_frame>(&message)) {
        m_admission.onResume(connection, *resume, now);
    } else if (const auto *push = std::get_if<config_push_frame>(&message)) {
        m_exchange.onPush(connection, *push);
    } else if (const auto *heartbeat = std::get_if<heartbeat_frame>(&message)) {
        m_exchange.onPeerRevision(connection, heartbeat->revision);
    } else if (const auto *pace = std::get_if<warm_pace_frame>(&message)) {
        m_admission.onRememberedPace({pace->tokenSeconds, pace->callSeconds}, now);
    } else {
        connection->close("entry sent a frame that only endpoints send");
    }
}

void endpoint_role::onDown(const link_ptr &connection, const std::string &reason)
{
    logLine(log_level::warn, "link", "connection is down",
            {{"peer", connection->peer().node}, {"address", connection->address()}, {"reason", reason}});
    m_exchange.onDown(connection);
    m_admission.onDisconnected(connection, boot_clock::now());
}

heartbeat_frame endpoint_role::makeHeartbeat()
{
    heartbeat_frame heartbeat;
    heartbeat.revision = m_configuration.current()->revision;
    heartbeat.status = m_admission.status(boot_clock::now());
    return heartbeat;
}

} // namespace bronzechute
