#include "gateway/peer_loads.h"

#include <algorithm>

namespace bronzechute {

namespace {

// A gateway that is silent for longer is stopped or partitioned; its requests end or time out.
constexpr std::chrono::milliseconds peerTimeout {3000};
// Reports are sent to a silent host for this long after a seed list or a peer last named it.
constexpr std::chrono::seconds candidateTimeout {30};
// Spans several reports. It only delays campaigns: the lease alone decides who is the coordinator.
constexpr std::chrono::milliseconds coordinatorTimeout {800};
// Each peer sends several reports within this time.
constexpr std::chrono::milliseconds partitionTimeout {700};

} // namespace

peer_loads::peer_loads(std::string self) : m_self(std::move(self))
{
}

bool peer_loads::record(const std::string &host, const load_report &report, time_point now)
{
    if (host == m_self) {
        return false;
    }
    peer &known = m_peers[host];
    const bool sameProcess = known.report.incarnation == report.incarnation;
    if (sameProcess && report.sequence <= known.report.sequence) {
        return false;
    }
    known.heardAt = now;
    known.namedAt = now;
    known.report = report;
    for (const std::string &other : report.peers) {
        if (other != m_self && !m_peers.contains(other)) {
            m_peers[other].namedAt = now;
        }
    }
    return !sameProcess;
}

void peer_loads::addCandidates(const std::vector<std::string> &hosts, time_point now)
{
    for (const std::string &host : hosts) {
        if (host != m_self) {
            m_peers[host].namedAt = now;
        }
    }
}

bool peer_loads::recent(const peer &known, time_point now)
{
    return known.heardAt != time_point {} && now - known.heardAt <= peerTimeout;
}

std::map<std::string, endpoint_load> peer_loads::loads(time_point now) const
{
    std::map<std::string, endpoint_load> total;
    for (const auto &[host, known] : m_peers) {
        if (!recent(known, now)) {
            continue;
        }
        for (const auto &[endpoint, count] : known.report.running) {
            total[endpoint].requests += count;
        }
        for (const auto &[endpoint, tokens] : known.report.tokens) {
            total[endpoint].tokens += tokens;
        }
    }
    return total;
}

queue_summary peer_loads::queues(const std::string &service, time_point now) const
{
    queue_summary total;
    for (const auto &[host, known] : m_peers) {
        const auto queue = known.report.queues.find(service);
        if (recent(known, now) && queue != known.report.queues.end()) {
            total += queue->second;
        }
    }
    return total;
}

std::vector<std::string> peer_loads::members(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers) {
        if (known.heardAt != time_point {} && now - known.namedAt <= candidateTimeout) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

int peer_loads::alive(time_point now) const
{
    int count = 0;
    for (const auto &[host, known] : m_peers) {
        count += recent(known, now) ? 1 : 0;
    }
    return count;
}

bool peer_loads::anyPeerIsCoordinator(time_point now) const
{
    return std::ranges::any_of(m_peers, [now](const auto &entry) {
        return entry.second.report.isCoordinator && now - entry.second.heardAt <= coordinatorTimeout;
    });
}

bool peer_loads::isPartitioned(const std::string &dataCentre, time_point now) const
{
    bool known = false;
    for (const auto &[host, other] : m_peers) {
        const bool elsewhere = !other.report.dataCentre.empty() && other.report.dataCentre != dataCentre;
        if (!elsewhere || now - other.heardAt > candidateTimeout) {
            continue;
        }
        if (now - other.heardAt <= partitionTimeout) {
            return false;
        }
        known = true;
    }
    return known;
}

std::vector<std::string> peer_loads::targets(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers) {
        if (now - known.namedAt <= candidateTimeout) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<std::string> peer_loads::heardPeers(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers) {
        if (recent(known, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace bronzechute
