#include "gateway/load_exchange.h"

#include "base/scope_guard.h"
#include "gateway/endpoint_key.h"
#include "observe/log.h"

#include <algorithm>
#include <random>
#include <set>
#include <string_view>

namespace bronzechute {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

// Until peers were discovered, assumes this many gateways to share global limits.
constexpr int assumedGatewayCount = 4;
constexpr std::chrono::seconds peerDiscoveryTime {3};

std::uint64_t randomIncarnation()
{
    std::random_device entropy;
    return (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
}

} // namespace

load_exchange::load_exchange(asio::io_context &loop, std::string host, std::uint16_t port, std::string node,
                             std::string dataCentre, std::vector<std::string> seeds, endpoint_table &endpoints,
                             crash_guard &guard, std::function<void()> onReport)
    : m_socket(loop)
    , m_timer(loop)
    , m_host(std::move(host))
    , m_port(port)
    , m_dataCentre(std::move(dataCentre))
    , m_seeds(std::move(seeds))
    , m_endpoints(endpoints)
    , m_guard(guard)
    , m_onReport(std::move(onReport))
    , m_exchange(m_host, std::move(node), m_dataCentre, randomIncarnation(), *this)
{
}

boost::system::error_code load_exchange::start()
{
    boost::system::error_code code;
    m_socket.open(udp::v4(), code);
    if (!code) {
        m_socket.bind({asio::ip::make_address_v4(m_host), m_port}, code);
    }
    if (!code) {
        m_socket.non_blocking(true, code);
    }
    if (!code) {
        m_startedAt = boot_clock::now();
        m_exchange.addCandidates(m_seeds, m_startedAt);
        receive();
        scheduleReport();
    }
    return code;
}

int load_exchange::expectedGateways() const
{
    std::set<std::string_view> hosts(m_seeds.begin(), m_seeds.end());
    hosts.insert(m_host);
    return static_cast<int>(hosts.size());
}

void load_exchange::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
    m_exchange.addCandidates(m_seeds, boot_clock::now());
}

int load_exchange::gateways() const
{
    const time_point now = boot_clock::now();
    const int known = m_exchange.peers().alive(now) + 1;
    return isDiscovered(now) ? std::max(known, m_maxGateways) : std::max(known, assumedGatewayCount);
}

std::string load_exchange::self() const
{
    return m_host;
}

std::vector<std::string> load_exchange::members(time_point now) const
{
    std::vector<std::string> hosts = m_exchange.peers().members(now);
    hosts.insert(std::ranges::lower_bound(hosts, m_host), m_host);
    return hosts;
}

bool load_exchange::isDiscovered(time_point now) const
{
    return now - m_startedAt >= peerDiscoveryTime;
}

queue_summary load_exchange::othersQueues(const std::string &service, time_point now) const
{
    const auto queues = m_exchange.othersQueues(now);
    const auto found = queues.find(service);
    return found == queues.end() ? queue_summary {} : found->second;
}

void load_exchange::setQueueSource(std::function<std::map<std::string, queue_summary>()> source)
{
    m_queueSource = std::move(source);
}

void load_exchange::setStoreRelay(store_relay &relay)
{
    m_exchange.setStoreRelay(relay);
}

bool load_exchange::peerIsCoordinator() const
{
    return !m_exchange.peers().coordinator(boot_clock::now()).empty();
}

bool load_exchange::isPartitioned() const
{
    return m_exchange.peers().isPartitioned(m_dataCentre, boot_clock::now());
}

std::size_t load_exchange::campaignOrder() const
{
    const auto hosts = m_exchange.peers().heardPeers(boot_clock::now());
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts, [this](const std::string &host) { return host < m_host; }));
}

void load_exchange::setIsCoordinator(bool isCoordinator)
{
    m_isCoordinator = isCoordinator;
    m_exchange.setCoordinator(m_isCoordinator, m_groups);
}

void load_exchange::setGroups(std::vector<group_state> groups)
{
    m_groups = std::move(groups);
    m_exchange.setCoordinator(m_isCoordinator, m_groups);
    m_endpoints.setGroups(m_groups, boot_clock::now());
}

void load_exchange::registerMetrics(metrics_registry &registry)
{
    m_sentBytes = &registry.counter("bronzechute_gateway_exchange_bytes_total", "",
                                    "Bytes of the datagrams sent to other gateways, without their headers.");
    m_sentDatagrams =
        &registry.counter("bronzechute_gateway_exchange_datagrams_total", "", "Datagrams sent to other gateways.");
    registry.gauge("bronzechute_gateway_exchange_hub", "", "Whether the gateway is the hub of its data centre.",
                   [this] { return m_isHub.load(); });
    registry.gauge("bronzechute_gateway_exchange_age_seconds", "",
                   "Time since the other data centre that is heard least was heard of.",
                   [this] { return m_dataCentreAgeSeconds.load(); });
    registry.gauge("bronzechute_gateway_exchange_shed_datagrams", "",
                   "Datagrams that were left out to keep to the limit of control traffic.",
                   [this] { return m_shedDatagrams.load(); });
}

void load_exchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_datagram), m_sender,
                                [this](const boost::system::error_code &code, std::size_t size) {
                                    if (code == asio::error::operation_aborted) {
                                        return;
                                    }
                                    const scope_guard receiveNext([this] { receive(); });
                                    if (!code) {
                                        onDatagram(size);
                                    }
                                });
}

void load_exchange::onDatagram(std::size_t size)
{
    const time_point now = boot_clock::now();
    const std::string host = m_sender.address().to_string();
    const incoming_news news = m_exchange.receive(host, {m_datagram.data(), size}, now);
    if (!news.isValid) {
        logLine(log_level::warn, "gateway", "invalid load report datagram", {{"peer", host}, {"bytes", size}});
        return;
    }
    applyLoads(now);
    if (!news.evidence.empty()) {
        const std::uint64_t before = m_guard.version();
        m_guard.merge(news.evidence);
        m_exchange.onMerged(host, before);
    }
    if (!news.groups.empty()) {
        m_endpoints.setGroups(news.groups, now);
    }
    sendOutgoing();
    m_onReport();
}

void load_exchange::applyLoads(time_point now)
{
    const auto loads = m_exchange.othersLoads(now);
    std::map<std::string, endpoint_load> byId;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (const auto found = loads.find(endpointKey(id)); found != loads.end()) {
            byId.emplace(id, found->second);
        }
    }
    m_endpoints.setPeerLoads(byId, m_exchange.usualLoadAge());
}

void load_exchange::sendOutgoing()
{
    for (const outgoing_datagram &datagram : m_exchange.takeOutgoing()) {
        boost::system::error_code ignored; // A later datagram makes up for one that was not sent.
        const auto address = asio::ip::make_address_v4(datagram.host, ignored);
        m_socket.send_to(asio::buffer(datagram.bytes), {address, m_port}, 0, ignored);
        if (m_sentBytes != nullptr) {
            m_sentBytes->add(datagram.bytes.size());
            m_sentDatagrams->add();
        }
    }
}

void load_exchange::scheduleReport()
{
    m_timer.expires_after(m_exchange.tickInterval());
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        scheduleReport(); // First, so that an unexpected error ends only this report.
        sendReport();
    });
}

std::map<std::string, endpoint_load> load_exchange::ownLoads() const
{
    std::map<std::string, endpoint_load> loads;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (endpoint->ownRunning > 0) {
            loads.emplace(id, endpoint_load {endpoint->ownRunning, endpoint->ownTokens});
        }
    }
    return loads;
}

std::map<std::string, queue_summary> load_exchange::ownQueues() const
{
    return m_queueSource ? m_queueSource() : std::map<std::string, queue_summary> {};
}

std::uint64_t load_exchange::evidenceVersion() const
{
    return m_guard.version();
}

crash_evidence load_exchange::evidence()
{
    return m_guard.evidence();
}

void load_exchange::sendReport()
{
    const time_point now = boot_clock::now();
    m_guard.update();
    const int alive = m_exchange.peers().alive(now);
    if (alive != m_lastAlivePeers) {
        logLine(log_level::info, "gateway", "other gateways in reach changed",
                {{"before", m_lastAlivePeers}, {"now", alive}});
        m_lastAlivePeers = alive;
        m_maxGateways = std::max(m_maxGateways, alive + 1);
        applyLoads(now);
    }
    m_exchange.tick(now);
    const std::string hub = m_exchange.isHub() ? m_host : m_exchange.hub();
    if (hub != m_lastHub) {
        logLine(log_level::info, "gateway", "hub of the data centre changed", {{"before", m_lastHub}, {"now", hub}});
        m_lastHub = hub;
    }
    m_isHub = m_exchange.isHub() ? 1.0 : 0.0;
    m_dataCentreAgeSeconds = std::chrono::duration<double>(m_exchange.oldestDataCentreAge(now)).count();
    m_shedDatagrams = static_cast<double>(m_exchange.shedDatagrams());
    sendOutgoing();
}

} // namespace bronzechute
