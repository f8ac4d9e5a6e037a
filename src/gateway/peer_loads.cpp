#include "gateway/peer_loads.h"

#include "gateway/endpoint_key.h"

#include <algorithm>

namespace bronzechute {

namespace {

// A gateway that is silent for longer is stopped or partitioned; its requests end or time out.
constexpr std::chrono::milliseconds peerTimeout {3000};
// Queues change within a second. Gateways report several times in this time, so that one that does not has stopped.
constexpr std::chrono::milliseconds queuesTimeout {1000};
// Reports are sent to a silent host for this long after a seed list or a peer last named it.
constexpr std::chrono::seconds candidateTimeout {30};
// Spans several reports. It only delays campaigns: the lease alone decides who is the coordinator.
constexpr std::chrono::milliseconds coordinatorTimeout {800};
// Each peer sends several reports within this time.
constexpr std::chrono::milliseconds partitionTimeout {700};
// Bounds the memory that reports with invented hosts can take.
constexpr std::size_t maxHosts = 4096;

} // namespace

peer_loads::peer_loads(std::string self) : m_self(std::move(self))
{
}

template<typename Report>
peer_loads::peer *peer_loads::accept(const std::string &host, const Report &report, time_point now, bool &isNew)
{
    if (host == m_self || (!m_peers.contains(host) && m_peers.size() >= maxHosts)) {
        return nullptr;
    }
    peer &known = m_peers[host];
    isNew = known.directAt == time_point {} || known.incarnation != report.incarnation;
    // A late datagram of the process before a restart is no news.
    if ((!isNew && report.sequence <= known.sequence)
        || (isNew && report.incarnation != 0 && report.incarnation == known.formerIncarnation)) {
        return nullptr;
    }
    if (isNew) {
        known.formerIncarnation = known.incarnation;
        known.queues.clear();
        known.followsStore = false;
    }
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.dataCentre = report.dataCentre;
    known.isCoordinator = report.isCoordinator;
    known.heardAt = now;
    known.directAt = now;
    known.namedAt = now;
    return &known;
}

bool peer_loads::record(const std::string &host, const load_report &report, time_point now)
{
    bool isNew = false;
    peer *const accepted = accept(host, report, now, isNew);
    if (accepted == nullptr) {
        return false;
    }
    peer &known = *accepted;
    known.knowsHubs = report.gateways > 0;
    known.queues = report.queues;
    known.loads.clear();
    for (const auto &[endpoint, count] : report.running) {
        known.loads[endpointKey(endpoint)].requests += count;
    }
    for (const auto &[endpoint, tokens] : report.tokens) {
        known.loads[endpointKey(endpoint)].tokens += tokens;
    }
    for (const std::string &other : report.peers) {
        if (other != m_self && !m_peers.contains(other) && m_peers.size() < maxHosts) {
            m_peers[other].namedAt = now;
        }
    }
    return isNew;
}

bool peer_loads::record(const std::string &host, const member_report &report, time_point now)
{
    bool isNew = false;
    peer *const accepted = accept(host, report, now, isNew);
    if (accepted == nullptr) {
        return false;
    }
    peer &known = *accepted;
    known.knowsHubs = true;
    known.followsStore = report.followsStore;
    known.loads = report.loads;
    if (report.queues) {
        known.queues = *report.queues;
    }
    return isNew;
}

void peer_loads::hearOf(const std::string &host, const std::string &dataCentre, bool knowsHubs, time_point at)
{
    if (host == m_self || (!m_peers.contains(host) && m_peers.size() >= maxHosts)) {
        return;
    }
    peer &known = m_peers[host];
    known.heardAt = std::max(known.heardAt, at);
    known.namedAt = std::max(known.namedAt, at);
    known.dataCentre = dataCentre;
    if (!reports(known, at)) {
        known.knowsHubs = knowsHubs;
    }
}

void peer_loads::hearOfCoordinator(const std::string &host, const std::string &dataCentre, time_point at)
{
    for (auto &[other, known] : m_peers) {
        if (other == host) {
            known.heardAt = std::max(known.heardAt, at);
            known.isCoordinator = true;
        } else if (known.directAt < at && (dataCentre.empty() || known.dataCentre == dataCentre)) {
            known.isCoordinator = false;
        }
    }
}

void peer_loads::addCandidates(const std::vector<std::string> &hosts, time_point now)
{
    for (const std::string &host : hosts) {
        if (host != m_self) {
            m_peers[host].namedAt = now;
        }
    }
}

bool peer_loads::isMember(const peer &known, time_point now)
{
    return known.heardAt != time_point {} && now - known.namedAt <= candidateTimeout;
}

bool peer_loads::isAlive(const peer &known, time_point now)
{
    return known.heardAt != time_point {} && now - known.heardAt <= peerTimeout;
}

bool peer_loads::reports(const peer &known, time_point now)
{
    return known.directAt != time_point {} && now - known.directAt <= peerTimeout;
}

std::map<std::uint32_t, endpoint_load> peer_loads::loads(const std::set<std::string> &excluded, time_point now) const
{
    std::map<std::uint32_t, endpoint_load> total;
    for (const auto &[host, known] : m_peers) {
        if (!reports(known, now) || excluded.contains(host)) {
            continue;
        }
        for (const auto &[key, load] : known.loads) {
            total[key].requests += load.requests;
            total[key].tokens += load.tokens;
        }
    }
    return total;
}

std::map<std::string, queue_summary> peer_loads::queues(const std::set<std::string> &excluded, time_point now) const
{
    std::map<std::string, queue_summary> total;
    for (const auto &[host, known] : m_peers) {
        if (!reports(known, now) || now - known.directAt > queuesTimeout || excluded.contains(host)) {
            continue;
        }
        for (const auto &[service, queue] : known.queues) {
            total[service] += queue;
        }
    }
    return total;
}

std::vector<std::string> peer_loads::members(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers) {
        if (isMember(known, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

int peer_loads::memberCount(time_point now) const
{
    return static_cast<int>(
        std::ranges::count_if(m_peers, [now](const auto &entry) { return isMember(entry.second, now); }));
}

int peer_loads::alive(time_point now) const
{
    return static_cast<int>(
        std::ranges::count_if(m_peers, [now](const auto &entry) { return isAlive(entry.second, now); }));
}

std::string peer_loads::coordinator(time_point now) const
{
    const auto found = std::ranges::find_if(m_peers, [now](const auto &entry) {
        return entry.second.isCoordinator && now - entry.second.heardAt <= coordinatorTimeout;
    });
    return found == m_peers.end() ? std::string() : found->first;
}

bool peer_loads::isPartitioned(const std::string &dataCentre, time_point now) const
{
    bool known = false;
    for (const auto &[host, other] : m_peers) {
        const bool elsewhere = !other.dataCentre.empty() && other.dataCentre != dataCentre;
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
        if (isAlive(known, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace bronzechute
