#include "gateway/load_exchange.h"

#include "base/scope_guard.h"
#include "observe/log.h"

#include <algorithm>
#include <random>

namespace bronzechute {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

// Between two reports, peers place requests by an outdated view; requests run for some 100 ms.
constexpr std::chrono::milliseconds reportInterval {40};
// A heartbeat is sent after this time without a change.
constexpr std::chrono::milliseconds heartbeatInterval {250};
// Well below the time after which endpoint_table lets the closed state of a group expire.
constexpr std::chrono::milliseconds groupsInterval {500};
// Evidence is repeated at once in case a datagram is lost, and later for gateways that could not be reached.
constexpr int evidenceRepetitions = 3;
constexpr std::chrono::seconds evidenceInterval {5};
// Until peers were discovered, assumes this many gateways to share global limits.
constexpr int assumedGatewayCount = 4;
constexpr std::chrono::seconds peerDiscoveryTime {3};

} // namespace

load_exchange::load_exchange(asio::io_context &loop, std::string host, std::uint16_t port, std::string node,
                             std::string dataCentre, std::vector<std::string> seeds, endpoint_table &endpoints,
                             crash_guard &guard, std::function<void()> onReport)
    : m_socket(loop)
    , m_timer(loop)
    , m_host(std::move(host))
    , m_port(port)
    , m_seeds(std::move(seeds))
    , m_endpoints(endpoints)
    , m_guard(guard)
    , m_onReport(std::move(onReport))
    , m_peers(m_host)
{
    std::random_device entropy;
    m_report.node = std::move(node);
    m_report.dataCentre = std::move(dataCentre);
    m_report.incarnation = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
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
        m_peers.addCandidates(m_seeds, m_startedAt);
        receive();
        scheduleReport();
    }
    return code;
}

void load_exchange::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
    m_peers.addCandidates(m_seeds, boot_clock::now());
}

int load_exchange::gateways() const
{
    const time_point now = boot_clock::now();
    const int known = m_peers.alive(now) + 1;
    return isDiscovered(now) ? std::max(known, m_maxGateways) : std::max(known, assumedGatewayCount);
}

std::string load_exchange::self() const
{
    return m_host;
}

std::vector<std::string> load_exchange::members(time_point now) const
{
    std::vector<std::string> hosts = m_peers.members(now);
    hosts.insert(std::ranges::lower_bound(hosts, m_host), m_host);
    return hosts;
}

bool load_exchange::isDiscovered(time_point now) const
{
    return now - m_startedAt >= peerDiscoveryTime;
}

queue_summary load_exchange::othersQueues(const std::string &service, time_point now) const
{
    return m_peers.queues(service, now);
}

void load_exchange::setQueueSource(std::function<std::map<std::string, queue_summary>()> source)
{
    m_queueSource = std::move(source);
}

bool load_exchange::peerIsCoordinator() const
{
    return m_peers.anyPeerIsCoordinator(boot_clock::now());
}

bool load_exchange::isPartitioned() const
{
    return m_peers.isPartitioned(m_report.dataCentre, boot_clock::now());
}

std::size_t load_exchange::campaignOrder() const
{
    const auto hosts = m_peers.heardPeers(boot_clock::now());
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts, [this](const std::string &host) { return host < m_host; }));
}

void load_exchange::setIsCoordinator(bool isCoordinator)
{
    m_report.isCoordinator = isCoordinator;
}

void load_exchange::setGroups(std::vector<group_state> groups)
{
    if (groups != m_groups) {
        m_groups = std::move(groups);
        m_groupsChanged = true;
    }
    m_endpoints.setGroups(m_groups, boot_clock::now());
}

bool load_exchange::groupsDue(time_point now) const
{
    return m_report.isCoordinator && !m_groups.empty() && (m_groupsChanged || now - m_groupsSentAt >= groupsInterval);
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
    const auto report = decodeLoadReport({m_datagram.data(), size}, boot_clock::now());
    if (!report) {
        logLine(log_level::warn, "gateway", "invalid load report datagram",
                {{"peer", m_sender.address().to_string()}, {"bytes", size}});
        return;
    }
    const time_point now = boot_clock::now();
    if (m_peers.record(m_sender.address().to_string(), *report, now)) {
        m_evidenceRepetitions = evidenceRepetitions; // A gateway that has just started knows nothing.
    }
    m_endpoints.setPeerLoads(m_peers.loads(now));
    if (!report->evidence.empty()) {
        m_guard.merge(report->evidence);
    }
    if (!report->groups.empty()) {
        m_endpoints.setGroups(report->groups, now);
    }
    m_onReport();
}

void load_exchange::scheduleReport()
{
    m_timer.expires_after(reportInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (code) {
            return;
        }
        scheduleReport(); // First, so that an unexpected error ends only this report.
        sendReport();
    });
}

std::map<std::string, int> load_exchange::ownRunning() const
{
    std::map<std::string, int> running;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (endpoint->ownRunning > 0) {
            running.emplace(id, endpoint->ownRunning);
        }
    }
    return running;
}

std::map<std::string, std::int64_t> load_exchange::ownTokens() const
{
    std::map<std::string, std::int64_t> tokens;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (endpoint->ownTokens > 0) {
            tokens.emplace(id, endpoint->ownTokens);
        }
    }
    return tokens;
}

bool load_exchange::evidenceDue(time_point now) const
{
    return m_evidenceRepetitions > 0 || now - m_evidenceSentAt >= evidenceInterval;
}

void load_exchange::sendReport()
{
    const time_point now = boot_clock::now();
    m_guard.update();
    if (m_guard.version() != m_evidenceVersion) {
        m_evidenceVersion = m_guard.version();
        m_evidenceRepetitions = evidenceRepetitions;
    }
    const int alive = m_peers.alive(now);
    if (alive != m_lastAlivePeers) {
        logLine(log_level::info, "gateway", "other gateways in reach changed",
                {{"before", m_lastAlivePeers}, {"now", alive}});
        m_lastAlivePeers = alive;
        m_maxGateways = std::max(m_maxGateways, alive + 1);
        m_endpoints.setPeerLoads(m_peers.loads(now));
        m_evidenceRepetitions = evidenceRepetitions; // For gateways that have just come into reach.
    }
    auto running = ownRunning();
    const bool withGroups = groupsDue(now);
    m_report.evidence = {};
    if (evidenceDue(now)) {
        m_report.evidence = m_guard.evidence();
        m_evidenceRepetitions = std::max(0, m_evidenceRepetitions - 1);
        m_evidenceSentAt = now;
    }
    const bool withEvidence = !m_report.evidence.empty();
    if (running == m_report.running && now - m_sentAt < heartbeatInterval && !withGroups && !withEvidence) {
        return;
    }
    m_sentAt = now;
    m_report.groups.clear();
    if (withGroups) {
        m_report.groups = m_groups;
        m_groupsChanged = false;
        m_groupsSentAt = now;
    }
    m_report.running = std::move(running);
    m_report.tokens = ownTokens();
    if (m_queueSource) {
        m_report.queues = m_queueSource();
    }
    m_report.peers = m_peers.heardPeers(now);
    ++m_report.sequence;
    const std::string datagram = encodeLoadReport(m_report, now);
    for (const std::string &host : m_peers.targets(now)) {
        boost::system::error_code ignored; // The next report makes up for a datagram that was not sent.
        const auto address = asio::ip::make_address_v4(host, ignored);
        m_socket.send_to(asio::buffer(datagram), {address, m_port}, 0, ignored);
    }
}

} // namespace bronzechute
