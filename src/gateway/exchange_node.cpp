#include "gateway/exchange_node.h"

#include "gateway/endpoint_key.h"
#include "gateway/message_codec.h"
#include "gateway/store_relay.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Mesh mode. Between two reports, peers place requests by an outdated view; requests run for some 100 ms.
constexpr std::chrono::milliseconds meshInterval {40};
// A heartbeat is sent after this time without a change.
constexpr std::chrono::milliseconds heartbeatInterval {250};
// Well below the time after which endpoint_table lets the closed state of a group expire.
constexpr std::chrono::milliseconds groupsInterval {500};
// Evidence is repeated at once in case a datagram is lost, and later for gateways that could not be reached.
constexpr int meshEvidenceRepetitions = 3;
constexpr std::chrono::seconds evidenceInterval {5};

// Hub mode.
constexpr std::chrono::milliseconds hubTickInterval {20};
constexpr std::chrono::milliseconds countInterval {100}; ///< Between two counts of the known gateways.
constexpr std::chrono::milliseconds memberReportInterval {55};
// Mean time from a change at one gateway until another one has it: a report, and the table of a hub or two.
constexpr std::chrono::milliseconds hubLoadAge {110};
constexpr std::chrono::milliseconds queuesInterval {500};
// States of groups that accept requests everywhere do not expire; gateways that start need them.
constexpr std::chrono::seconds openGroupsInterval {2};
constexpr int evidenceRepetitions = 1;
constexpr std::chrono::milliseconds evidenceSpacing {100};
constexpr std::size_t urgentEvidenceBytes = 4096;
constexpr std::size_t evidenceBytesPerSecond = 22000; ///< To each receiver.
// Another gateway knows that there are enough for hub mode.
constexpr std::chrono::seconds hubModeDuration {10};
// Another data centre that is silent for longer is taken for stopped, not for cut off.
constexpr std::chrono::milliseconds silentDataCentreTimeout {3000};
constexpr std::chrono::milliseconds silentHubInterval {250};
constexpr std::size_t silentHubCandidates = 3;
constexpr std::size_t announcementsAtOnce = 8;
constexpr std::chrono::milliseconds probeInterval {100};
constexpr std::chrono::seconds greetingInterval {1};
constexpr std::size_t greetingsAtOnce = 4;
constexpr std::size_t probesAtOnce = 3;
// Below the time after which the gateway takes itself for cut off.
constexpr std::chrono::milliseconds probeAfter {400};
constexpr std::chrono::milliseconds replyInterval {200};
constexpr std::size_t maxReportedPeers = 16;
constexpr std::size_t maxNewsOrigins = 64;
constexpr std::size_t maxDataCentres = 64;
// Sustained control traffic of a gateway for itself, and of a hub for each gateway that it sends to.
constexpr double bytesPerSecondPerGateway = 11000;
// A fifth of the slowest link among the platform's gateways (40 Mbit/s). Reached by the hub of 90 gateways.
constexpr double maxBytesPerSecond = 1000000;

std::chrono::milliseconds millisecondsOf(boot_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

int ageMs(time_point at, time_point now)
{
    return static_cast<int>(std::clamp<std::int64_t>(millisecondsOf(now - at).count(), 0, 60000));
}

/** @returns the time since anything was heard of another data centre. */
std::optional<boot_clock::duration> newestDataCentreAge(const peer_loads &peers, const std::string &own, time_point now)
{
    std::optional<boot_clock::duration> newest;
    for (const auto &[host, known] : peers.all()) {
        if (known.heardAt != time_point {} && !known.dataCentre.empty() && known.dataCentre != own
            && (!newest || now - known.heardAt < *newest)) {
            newest = now - known.heardAt;
        }
    }
    return newest;
}

} // namespace

exchange_node::exchange_node(std::string self, std::string node, std::string dataCentre, std::uint64_t incarnation,
                             exchange_source &source)
    : m_self(std::move(self))
    , m_node(std::move(node))
    , m_dataCentre(std::move(dataCentre))
    , m_incarnation(incarnation)
    , m_source(source)
    , m_peers(m_self)
    , m_sequence(incarnation
                 & 0xfffff) // So that a sum with a report of an earlier process is not taken for a later one.
    , m_rule(m_self)
    , m_announcements(silentHubInterval)
    , m_greetings(greetingInterval)
    , m_replies(replyInterval)
{
    m_budget.setRate(bytesPerSecondPerGateway);
}

void exchange_node::setStoreRelay(store_relay &relay)
{
    m_storeRelay = &relay;
}

void exchange_node::addCandidates(const std::vector<std::string> &hosts, time_point now)
{
    m_peers.addCandidates(hosts, now);
}

void exchange_node::setCoordinator(bool isCoordinator, std::vector<group_state> groups)
{
    m_isCoordinator = isCoordinator;
    if (groups != m_groups) {
        m_groups = std::move(groups);
        m_groupsChanged = true;
    }
}

std::vector<outgoing_datagram> exchange_node::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::chrono::milliseconds exchange_node::tickInterval() const
{
    return m_hubMode ? hubTickInterval : meshInterval;
}

std::chrono::milliseconds exchange_node::usualLoadAge() const
{
    return m_hubMode ? hubLoadAge : meshInterval;
}

int exchange_node::knownGateways() const
{
    return m_otherGateways + 1;
}

std::map<std::uint32_t, endpoint_load> exchange_node::ownLoadsByKey() const
{
    std::map<std::uint32_t, endpoint_load> loads;
    for (const auto &[id, load] : m_source.ownLoads()) {
        endpoint_load &sum = loads[endpointKey(id)];
        sum.requests += load.requests;
        sum.tokens += load.tokens;
    }
    return loads;
}

void exchange_node::updateMode(time_point now)
{
    const bool wasHubMode = m_hubMode;
    if (!m_hubMode || now - m_gatewaysCountedAt >= countInterval) {
        m_gatewaysCountedAt = now;
        m_otherGateways = m_peers.memberCount(now);
    }
    m_hubMode = knownGateways() > maxMeshGateways || now < m_hubModeUntil;
    if (m_hubMode && !wasHubMode) {
        m_rule = hub_rule(m_self);
    }
}

void exchange_node::tick(time_point now)
{
    updateMode(now);
    if (!m_hubMode) {
        relayStore(now);
        tickMesh(now);
        return;
    }
    updateRule(now);
    relayStore(now);
    sendMemberReport(now);
    if (m_rule.acting()) {
        sendTables(now);
    }
    sendNews(now);
    sendGreetings(now);
    reportToEarlierVersions(now);
}

// Mesh mode

bool exchange_node::groupsDue(time_point now) const
{
    if (!m_isCoordinator || m_groups.empty()) {
        return false;
    }
    const bool expires = !m_hubMode || std::ranges::any_of(m_groups, [](const group_state &group) {
        return !group.open || !group.avoided.empty();
    });
    return m_groupsChanged || now - m_groupsSentAt >= (expires ? groupsInterval : openGroupsInterval);
}

bool exchange_node::evidenceDue(time_point now) const
{
    return m_meshEvidence.repetitions > 0 || now - m_meshEvidence.sentAt >= evidenceInterval;
}

load_report exchange_node::makeReport(time_point now)
{
    load_report report;
    report.node = m_node;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.dataCentre = m_dataCentre;
    report.isCoordinator = m_isCoordinator;
    report.gateways = knownGateways();
    report.hubs = m_hubs;
    if (m_hubMode && m_rule.acting()) {
        report.hubs[m_dataCentre] = m_self;
    }
    for (const auto &[id, load] : m_source.ownLoads()) {
        report.running[id] = load.requests;
        if (load.tokens > 0) {
            report.tokens[id] = load.tokens;
        }
    }
    m_reportedQueues = m_source.ownQueues();
    report.queues = m_reportedQueues;
    if (!m_hubMode) {
        report.peers = m_peers.heardPeers(now);
    }
    m_tables.rememberReport({m_sequence, now, ownLoadsByKey(), m_reportedQueues});
    return report;
}

void exchange_node::tickMesh(time_point now)
{
    if (m_source.evidenceVersion() != m_meshEvidence.version) {
        m_meshEvidence.version = m_source.evidenceVersion();
        m_meshEvidence.repetitions = meshEvidenceRepetitions;
    }
    const int alive = m_peers.alive(now);
    if (alive != m_lastAlivePeers) {
        m_lastAlivePeers = alive;
        m_meshEvidence.repetitions = meshEvidenceRepetitions; // For gateways that have just come into reach.
    }
    std::map<std::string, int> running;
    for (const auto &[id, load] : m_source.ownLoads()) {
        running.emplace(id, load.requests);
    }
    const bool withGroups = groupsDue(now);
    crash_evidence evidence;
    if (evidenceDue(now)) {
        evidence = m_source.evidence();
        m_meshEvidence.repetitions = std::max(0, m_meshEvidence.repetitions - 1);
        m_meshEvidence.sentAt = now;
    }
    if (running == m_meshRunning && now - m_meshSentAt < heartbeatInterval && !withGroups && evidence.empty()) {
        return;
    }
    m_meshSentAt = now;
    m_meshRunning = std::move(running);
    load_report report = makeReport(now);
    report.wantsReply = true; // Gateways in hub mode send no reports without being asked.
    report.evidence = std::move(evidence);
    if (withGroups) {
        report.groups = m_groups;
        m_groupsChanged = false;
        m_groupsSentAt = now;
    }
    const std::string datagram = encodeLoadReport(report, now);
    for (const std::string &host : m_peers.targets(now)) {
        m_outgoing.push_back({host, datagram});
    }
}

// Receiving

incoming_news exchange_node::receive(const std::string &host, std::string_view datagram, time_point now)
{
    incoming_news result;
    if (host == m_self) {
        result.isValid = true;
        return result;
    }
    if (isHubMessage(datagram)) {
        auto message = decodeHubMessage(datagram, now);
        if (!message) {
            return result;
        }
        result.isValid = true;
        if (const auto *report = std::get_if<member_report>(&*message)) {
            applyReport(host, *report, now);
        } else if (auto *table = std::get_if<load_table>(&*message)) {
            applyTable(host, std::move(*table), now);
        } else if (const auto *changes = std::get_if<store_message>(&*message)) {
            if (m_storeRelay != nullptr) {
                m_storeRelay->hear(host, *changes, now);
            }
        } else {
            applyNews(host, std::get<exchange_news>(*message), now, result);
        }
        return result;
    }
    auto report = decodeLoadReport(datagram, now);
    if (!report) {
        return result;
    }
    result.isValid = true;
    if (m_peers.record(host, *report, now)) {
        m_meshEvidence.repetitions = meshEvidenceRepetitions; // A gateway that has just started knows nothing.
        m_allWriter.repeatList();
    }
    if (report->gateways > maxMeshGateways) {
        m_hubModeUntil = now + hubModeDuration;
    }
    for (const auto &[dataCentre, hub] : report->hubs) {
        if (dataCentre == m_dataCentre) {
            m_rule.setHint(hub, now);
        }
        if (m_hubs.size() >= maxDataCentres && !m_hubs.contains(dataCentre)) {
            continue;
        }
        const auto known = m_peers.all().find(m_hubs[dataCentre]);
        if (known == m_peers.all().end() || now - known->second.heardAt > hub_rule::hubTimeout) {
            m_hubs[dataCentre] = hub;
        }
    }
    if (report->wantsReply && m_hubMode) {
        reply(host, report->dataCentre, now);
    }
    result.groups = std::move(report->groups);
    result.evidence = std::move(report->evidence);
    return result;
}

void exchange_node::applyReport(const std::string &host, const member_report &report, time_point now)
{
    if (m_peers.record(host, report, now)) {
        m_allWriter.repeatList();
    }
    if (report.gateways > maxMeshGateways) {
        m_hubModeUntil = now + hubModeDuration;
    }
}

void exchange_node::applyTable(const std::string &host, load_table table, time_point now)
{
    if (table.ofAll != (table.dataCentre == m_dataCentre)) {
        return;
    }
    if (table.gateways > maxMeshGateways) {
        m_hubModeUntil = now + hubModeDuration;
    }
    if (!m_tables.isNews(host, table)) {
        return;
    }
    m_peers.hearOf(host, table.dataCentre, true, now);
    if (!table.ofAll && m_storeRelay != nullptr) {
        m_storeRelay->hearOther(table.storeRevision, now);
    }
    if (table.ofAll) {
        m_rule.hear(host, table.freshMembers, m_tables.reportSentAt(table.included), now);
    } else if (m_hubMode && !m_rule.acting()) {
        reply(host, table.dataCentre, now); // It takes this gateway for the hub.
    }
    const bool hasList = table.list.has_value();
    const kept_table *kept = m_tables.keep(host, std::move(table), now);
    if (kept == nullptr) {
        return; // The list of these values was lost; it is repeated.
    }
    if (hasList) {
        for (const table_member &member : kept->list.members) {
            m_peers.hearOf(member.host, kept->list.dataCentres[member.dataCentre], member.knowsHubs,
                           now - std::chrono::milliseconds(member.ageMs));
        }
    }
    applyHubs(host, *kept, now);
}

void exchange_node::applyHubs(const std::string &host, const kept_table &kept, time_point now)
{
    const std::size_t dataCentres = std::min(kept.list.dataCentres.size(), kept.table.ageMs.size());
    for (std::size_t index = 0; index < dataCentres; ++index) {
        const std::string &dataCentre = kept.list.dataCentres[index];
        const std::string &hub = kept.list.hubs[index];
        if (!hub.empty() && dataCentre != m_dataCentre) {
            m_peers.hearOf(hub, dataCentre, true, now - std::chrono::milliseconds(kept.table.ageMs[index]));
            m_hubs[dataCentre] = hub;
        }
    }
    const time_point coordinatorAt = now - std::chrono::milliseconds(kept.table.coordinatorAgeMs);
    if (!kept.table.ofAll) {
        m_hubs[kept.table.dataCentre] = host;
        m_peers.hearOfCoordinator(kept.table.coordinator, kept.table.dataCentre, coordinatorAt);
    } else if (!m_rule.acting() && (m_rule.followed().empty() || m_rule.followed() == host)) {
        m_peers.hearOfCoordinator(kept.table.coordinator, {}, coordinatorAt);
    }
}

void exchange_node::applyNews(const std::string &host, const exchange_news &news, time_point now, incoming_news &result)
{
    result.evidence = news.evidence;
    if (news.groups.empty() || news.origin == m_incarnation) {
        return;
    }
    if (m_newsSeen.size() >= maxNewsOrigins && !m_newsSeen.contains(news.origin)) {
        m_newsSeen.clear();
    }
    std::uint64_t &seen = m_newsSeen[news.origin];
    if (news.sequence <= seen) {
        return;
    }
    result.groups = news.groups;
    const auto sender = m_peers.all().find(host);
    const bool fromOwn = sender != m_peers.all().end() && sender->second.dataCentre == m_dataCentre;
    if (isHub() || fromOwn) {
        seen = news.sequence; // A hub elsewhere repeats it once this gateway has become the hub, to be passed on.
    }
    if (!isHub()) {
        return;
    }
    std::vector<std::string> targets = ownReporters(now);
    if (fromOwn) {
        const auto [heard, silent] = otherHubs(now);
        targets.insert(targets.end(), heard.begin(), heard.end());
        targets.insert(targets.end(), silent.begin(), silent.end());
    }
    const std::string forwarded = encodeNews({news.origin, news.sequence, news.groups, {}}, now);
    for (const std::string &target : targets) {
        if (target != host) {
            send(target, forwarded, control_kind::news, now);
        }
    }
    m_lastNews = fromOwn ? forwarded : std::string();
    m_lastNewsAt = now;
    const std::vector<std::string> hubs = otherHubs(now).first;
    m_newsHubs = {hubs.begin(), hubs.end()};
}

void exchange_node::onMerged(const std::string &host, std::uint64_t before)
{
    const std::uint64_t after = m_source.evidenceVersion();
    const auto sender = m_peers.all().find(host);
    const bool fromOwn = sender != m_peers.all().end() && sender->second.dataCentre == m_dataCentre;
    for (auto &[target, progress] : m_evidence) {
        const auto known = m_peers.all().find(target);
        const bool targetIsOwn = known != m_peers.all().end() && known->second.dataCentre == m_dataCentre;
        // The hub passes it on to its members, and what comes from them also to the other hubs.
        const bool isPassedOn = isHub() && target != host && (targetIsOwn || fromOwn);
        if (!isPassedOn && progress.version == before) {
            progress.version = after;
        }
    }
}

// Hub mode

bool exchange_node::send(const std::string &host, std::string bytes, control_kind kind, time_point now)
{
    if (!m_budget.allows(kind, bytes.size(), now)) {
        ++m_shed;
        return false;
    }
    m_budget.spend(bytes.size());
    m_outgoing.push_back({host, std::move(bytes)});
    return true;
}

void exchange_node::reply(const std::string &host, const std::string &dataCentre, time_point now)
{
    if (!m_replies.isDue(host, now)) {
        return;
    }
    m_replies.note(host, now);
    load_report report = makeReport(now);
    // A gateway that has just started needs its hub, or those among which it will be.
    for (const bool own : {true, false}) {
        for (const auto &[other, known] : m_peers.all()) {
            if (report.peers.size() < maxReportedPeers && (known.dataCentre == dataCentre) == own
                && peer_loads::isAlive(known, now)) {
                report.peers.push_back(other);
            }
        }
    }
    send(host, encodeLoadReport(report, now), control_kind::membership, now);
}

std::vector<std::string> exchange_node::ownReporters(time_point now) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers.all()) {
        if (known.dataCentre == m_dataCentre && known.knowsHubs && peer_loads::reports(known, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void exchange_node::updateRule(time_point now)
{
    std::vector<std::string> hosts;
    int fresh = 1;
    for (const auto &[host, known] : m_peers.all()) {
        if (known.dataCentre == m_dataCentre && known.knowsHubs && peer_loads::isAlive(known, now)) {
            hosts.push_back(host);
            fresh += now - known.directAt <= hub_rule::hubTimeout ? 1 : 0;
        }
    }
    m_rule.update(hosts, fresh, now);
    const std::string hub = m_rule.acting() ? m_self : m_rule.followed();
    if (hub != m_reportedHub) {
        m_reportedHub = hub;
        m_groupsChanged = true; // What the former hub was told last may not have been passed on.
    }
    const std::size_t served = m_rule.acting() ? hosts.size() : 0;
    m_budget.setRate(std::min(maxBytesPerSecond, bytesPerSecondPerGateway * static_cast<double>(served + 1)));
    m_allWriter.setPace(served, maxBytesPerSecond);
    if (m_rule.acting()) {
        m_hubs[m_dataCentre] = m_self;
    } else if (!m_rule.followed().empty()) {
        m_hubs[m_dataCentre] = m_rule.followed();
    }
}

void exchange_node::sendMemberReport(time_point now)
{
    if (now - m_reportSentAt < memberReportInterval) {
        return;
    }
    const std::vector<std::string> targets = m_rule.reportTo(now);
    if (targets.empty()) {
        return;
    }
    auto loads = ownLoadsByKey();
    const bool withQueues = now - m_queuesSentAt >= queuesInterval && m_budget.allows(control_kind::queues, 0, now);
    if (loads == m_reportedLoads && now - m_reportSentAt < heartbeatInterval) {
        return;
    }
    m_reportSentAt = now;
    m_reportedLoads = loads;
    member_report report {m_incarnation,   ++m_sequence, m_dataCentre, m_isCoordinator,
                          knownGateways(), loads,        {},           m_storeRelay != nullptr};
    if (withQueues) {
        m_queuesSentAt = now;
        m_reportedQueues = m_source.ownQueues();
        report.queues = m_reportedQueues;
    }
    m_tables.rememberReport({m_sequence, now, std::move(loads), m_reportedQueues});
    const std::string datagram = encodeMemberReport(report);
    for (const std::string &host : targets) {
        send(host, datagram, control_kind::membership, now);
    }
}

std::vector<const kept_table *> exchange_node::usedTables(time_point now) const
{
    if (!m_hubMode) {
        return {};
    }
    return m_tables.used(m_rule.acting(), m_rule.followed(), ownReporters(now).size() + 1, now);
}

std::map<std::uint32_t, endpoint_load> exchange_node::othersLoads(time_point now) const
{
    return m_tables.loads(usedTables(now), m_peers, now);
}

std::map<std::string, queue_summary> exchange_node::othersQueues(time_point now) const
{
    return m_tables.queues(usedTables(now), m_peers, now);
}

load_table exchange_node::emptyTable(bool ofAll, time_point now) const
{
    load_table table;
    table.incarnation = m_incarnation;
    table.ofAll = ofAll;
    table.dataCentre = m_dataCentre;
    table.gateways = knownGateways();
    table.freshMembers = 1;
    for (const auto &[host, known] : m_peers.all()) {
        if (known.dataCentre == m_dataCentre && known.knowsHubs && now - known.directAt <= hub_rule::hubTimeout) {
            ++table.freshMembers;
        }
    }
    if (m_isCoordinator) {
        table.coordinator = m_self;
        return table;
    }
    const std::string coordinator = m_peers.coordinator(now);
    if (const auto found = m_peers.all().find(coordinator); found != m_peers.all().end()) {
        if (ofAll || found->second.dataCentre == m_dataCentre) {
            table.coordinator = coordinator;
            table.coordinatorAgeMs = ageMs(found->second.heardAt, now);
        }
    }
    return table;
}

std::pair<std::vector<std::string>, std::vector<std::string>> exchange_node::otherHubs(time_point now) const
{
    std::vector<std::string> heard;
    std::set<std::string> heardDataCentres;
    for (const kept_table *kept : m_tables.heardOfOtherDataCentres(now)) {
        heard.push_back(kept->host);
        heardDataCentres.insert(kept->table.dataCentre);
    }
    std::map<std::string, std::set<std::string>> silent; // By data centre.
    for (const auto &[dataCentre, hub] : m_hubs) {
        if (dataCentre != m_dataCentre && !hub.empty() && !heardDataCentres.contains(dataCentre)) {
            silent[dataCentre].insert(hub);
        }
    }
    for (const std::string &host : m_peers.members(now)) {
        const peer_loads::peer &known = m_peers.all().at(host);
        if (known.dataCentre.empty() || known.dataCentre == m_dataCentre || !known.knowsHubs
            || heardDataCentres.contains(known.dataCentre)) {
            continue;
        }
        if (silent[known.dataCentre].size() < silentHubCandidates) {
            silent[known.dataCentre].insert(host);
        }
    }
    std::vector<std::string> candidates;
    for (const auto &[dataCentre, hosts] : silent) {
        candidates.insert(candidates.end(), hosts.begin(), hosts.end());
    }
    return {heard, candidates};
}

void exchange_node::sendTableTo(const std::vector<std::string> &hosts, const std::vector<std::string> &silentHosts,
                                const load_table &table, time_point now)
{
    std::string datagram = encodeLoadTable(table);
    (table.ofAll ? m_allWriter : m_ownWriter).noteSize(datagram.size(), table.list.has_value());
    const control_kind kind = table.list ? control_kind::membership : control_kind::table;
    for (const std::string &host : hosts) {
        if (table.ofAll) {
            const auto known = m_peers.all().find(host);
            setIncluded(datagram, known == m_peers.all().end() ? 0 : known->second.sequence);
        }
        send(host, datagram, kind, now);
    }
    // It shows silent hosts that this is the hub. Those of its own data centre report then, and are sent the list; the
    // hubs of the others need the list at once, as a table without it is not one of a hub that is heard.
    load_table announcement = table;
    announcement.list.reset();
    if (!table.ofAll) {
        announcement.list = m_ownWriter.list();
    }
    announcement.queues.reset();
    std::string announced;
    std::size_t count = 0;
    for (const std::string &host : silentHosts) {
        if (count == announcementsAtOnce || !m_announcements.isDue(host, now)) {
            continue;
        }
        m_announcements.note(host, now);
        ++count;
        if (announced.empty()) {
            announced = encodeLoadTable(announcement);
        }
        send(host, announced, control_kind::table, now);
    }
}

void exchange_node::sendTables(time_point now)
{
    if (m_allWriter.mayBeDue(now)) {
        sendAllTable(now);
    }
    if (m_ownWriter.mayBeDue(now)) {
        sendOwnTable(now);
    }
}

void exchange_node::sendAllTable(time_point now)
{
    const std::vector<const kept_table *> others = m_tables.ofOtherDataCentres(now);
    load_table table = emptyTable(true, now);
    table_list list;
    std::map<std::string, std::size_t> dataCentres;
    const auto indexOf = [&](const std::string &dataCentre) {
        const auto [entry, added] = dataCentres.try_emplace(dataCentre, list.dataCentres.size());
        if (added) {
            list.dataCentres.push_back(dataCentre);
            const auto hub = m_hubs.find(dataCentre);
            list.hubs.push_back(hub == m_hubs.end() ? std::string() : hub->second);
        }
        return entry->second;
    };
    std::map<std::string, table_member> members;
    members.emplace(m_self, table_member {m_self, indexOf(m_dataCentre), 0, true});
    for (const kept_table *kept : others) {
        const int receivedMs = ageMs(kept->receivedAt, now);
        for (const table_member &member : kept->list.members) {
            members.emplace(member.host,
                            table_member {member.host, indexOf(kept->table.dataCentre), member.ageMs + receivedMs,
                                          member.knowsHubs});
        }
    }
    for (const auto &[host, known] : m_peers.all()) {
        if (peer_loads::reports(known, now)) {
            members.emplace(
                host, table_member {host, indexOf(known.dataCentre), ageMs(known.directAt, now), known.knowsHubs});
        }
    }
    for (const auto &[host, member] : members) {
        list.members.push_back(member);
    }
    for (std::size_t index = 0; index < list.dataCentres.size(); ++index) {
        const auto hub = m_peers.all().find(list.hubs[index]);
        table.ageMs.push_back(hub == m_peers.all().end() ? 0 : ageMs(hub->second.heardAt, now));
    }
    auto loads = m_tables.loads(others, m_peers, now);
    for (const auto &[key, load] : ownLoadsByKey()) {
        loads[key].requests += load.requests;
        loads[key].tokens += load.tokens;
    }
    auto next = m_allWriter.next(std::move(table), std::move(list), loads, now);
    if (!next) {
        return;
    }
    if (now - m_allQueuesSentAt >= queuesInterval && m_budget.allows(control_kind::queues, 0, now)) {
        m_allQueuesSentAt = now;
        next->queues = m_tables.queues(others, m_peers, now);
        for (const auto &[service, queue] : m_source.ownQueues()) {
            (*next->queues)[service] += queue;
        }
    }
    const std::vector<std::string> reporters = ownReporters(now);
    std::vector<std::string> silent;
    for (const std::string &host : m_peers.members(now)) {
        const peer_loads::peer &known = m_peers.all().at(host);
        if (known.dataCentre == m_dataCentre && known.knowsHubs && !peer_loads::reports(known, now)) {
            silent.push_back(host);
        }
    }
    sendTableTo(reporters, silent, *next, now);
}

void exchange_node::sendOwnTable(time_point now)
{
    const auto [heard, silent] = otherHubs(now);
    std::set<std::string> heardHubs(heard.begin(), heard.end());
    if (!std::ranges::includes(m_heardHubs, heardHubs)) {
        m_ownWriter.repeatList();
    }
    m_heardHubs = std::move(heardHubs);
    load_table table = emptyTable(false, now);
    table.storeRevision = m_storeRelay == nullptr ? 0 : m_storeRelay->watchedRevision(now);
    table.ageMs = {0};
    table_list list;
    list.dataCentres = {m_dataCentre};
    list.hubs = {m_self};
    list.members.push_back({m_self, 0, 0, true});
    std::set<std::string> elsewhere;
    for (const auto &[host, known] : m_peers.all()) {
        if (known.dataCentre != m_dataCentre) {
            elsewhere.insert(host);
        } else if (peer_loads::reports(known, now)) {
            list.members.push_back({host, 0, ageMs(known.directAt, now), known.knowsHubs});
        }
    }
    auto loads = m_peers.loads(elsewhere, now);
    for (const auto &[key, load] : ownLoadsByKey()) {
        loads[key].requests += load.requests;
        loads[key].tokens += load.tokens;
    }
    auto next = m_ownWriter.next(std::move(table), std::move(list), loads, now);
    if (!next) {
        return;
    }
    if (now - m_ownQueuesSentAt >= queuesInterval && m_budget.allows(control_kind::queues, 0, now)) {
        m_ownQueuesSentAt = now;
        next->queues = m_peers.queues(elsewhere, now);
        for (const auto &[service, queue] : m_source.ownQueues()) {
            (*next->queues)[service] += queue;
        }
    }
    sendTableTo(heard, silent, *next, now);
}

std::vector<std::string> exchange_node::newsTargets(time_point now) const
{
    if (!m_rule.acting()) {
        return m_rule.reportTo(now);
    }
    std::vector<std::string> targets = ownReporters(now);
    const auto [heard, silent] = otherHubs(now);
    targets.insert(targets.end(), heard.begin(), heard.end());
    return targets;
}

void exchange_node::sendNews(time_point now)
{
    const std::vector<std::string> targets = newsTargets(now);
    if (groupsDue(now) && !targets.empty()) {
        m_groupsChanged = false;
        m_groupsSentAt = now;
        const std::string datagram = encodeNews({m_incarnation, ++m_newsSequence, m_groups, {}}, now);
        for (const std::string &host : targets) {
            send(host, datagram, control_kind::news, now);
        }
    }
    if (m_rule.acting() && !m_lastNews.empty() && now - m_lastNewsAt <= groupsInterval) {
        for (const std::string &host : otherHubs(now).first) {
            if (m_newsHubs.insert(host).second) {
                send(host, m_lastNews, control_kind::news, now); // It has become the hub since.
            }
        }
    }
    const std::uint64_t version = m_source.evidenceVersion();
    std::string datagram;
    for (const std::string &host : targets) {
        evidence_progress &progress = m_evidence[host];
        const boot_clock::duration since = now - progress.sentAt;
        const bool isNews = progress.version != version;
        if ((!isNews && progress.repetitions == 0 && since < evidenceInterval) || since < progress.pause) {
            continue;
        }
        if (datagram.empty()) {
            const crash_evidence evidence = m_source.evidence();
            if (evidence.empty()) {
                return;
            }
            datagram = encodeNews({m_incarnation, 0, {}, evidence}, now);
        }
        // Much evidence must not take the place of the tables, without which the hub would be taken for silent.
        const control_kind kind = datagram.size() > urgentEvidenceBytes ? control_kind::queues : control_kind::news;
        if (send(host, datagram, kind, now)) {
            progress.repetitions = isNews ? evidenceRepetitions : std::max(0, progress.repetitions - 1);
            progress.version = version;
            progress.sentAt = now;
            progress.pause = std::max<boot_clock::duration>(
                evidenceSpacing, std::chrono::milliseconds(datagram.size() * 1000 / evidenceBytesPerSecond));
        }
    }
    std::erase_if(m_evidence, [now](const auto &entry) { return now - entry.second.sentAt > 2 * evidenceInterval; });
}

void exchange_node::relayStore(time_point now)
{
    if (m_storeRelay == nullptr) {
        return;
    }
    const relay_part part = m_rule.acting() ? relay_part::watcher : relay_part::member;
    m_storeRelay->setPart(m_hubMode ? part : relay_part::alone, now);
    const std::vector<store_message> messages = m_storeRelay->takeDue(now);
    if (messages.empty()) {
        return;
    }
    const std::vector<std::string> hosts = ownReporters(now);
    for (const store_message &message : messages) {
        const std::string datagram = encodeStoreMessage(message);
        // Like much evidence; whoever misses changes reads the store itself.
        const control_kind kind = datagram.size() > urgentEvidenceBytes ? control_kind::queues : control_kind::news;
        for (const std::string &host : hosts) {
            if (m_peers.all().at(host).followsStore) {
                send(host, datagram, kind, now);
            }
        }
    }
}

void exchange_node::greet(const std::string &host, const load_report &report, time_point now)
{
    m_greetings.note(host, now);
    send(host, encodeLoadReport(report, now), control_kind::membership, now);
}

void exchange_node::sendGreetings(time_point now)
{
    if (now - m_probedAt < probeInterval) {
        return;
    }
    m_probedAt = now;
    std::vector<std::string> hosts;
    for (const std::string &host : m_peers.targets(now)) {
        const bool neverHeard = m_peers.all().at(host).heardAt == time_point {};
        if (neverHeard && hosts.size() < greetingsAtOnce && m_greetings.isDue(host, now)) {
            hosts.push_back(host);
        }
    }
    const auto age = newestDataCentreAge(m_peers, m_dataCentre, now);
    if (m_rule.isQuestioned(now) || (age && *age > probeAfter && *age < silentDataCentreTimeout)) {
        // Tells a silent or deaf hub from a cut: the gateways of other data centres answer if they can be reached.
        std::set<std::string> probes;
        for (const auto &[dataCentre, hub] : m_hubs) {
            if (!hub.empty() && hub != m_self && probes.size() < probesAtOnce) {
                probes.insert(hub);
            }
        }
        for (const std::string &host : m_peers.heardPeers(now)) {
            if (probes.size() >= probesAtOnce) {
                break;
            }
            probes.insert(host);
        }
        hosts.insert(hosts.end(), probes.begin(), probes.end());
    }
    if (hosts.empty()) {
        return;
    }
    load_report report = makeReport(now);
    report.wantsReply = true;
    for (const std::string &host : hosts) {
        greet(host, report, now);
    }
}

void exchange_node::reportToEarlierVersions(time_point now)
{
    if (now - m_earlierVersionsAt < heartbeatInterval) {
        return;
    }
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_peers.all()) {
        if (!known.knowsHubs && peer_loads::isAlive(known, now)) {
            hosts.push_back(host);
        }
    }
    if (hosts.empty()) {
        return;
    }
    m_earlierVersionsAt = now;
    load_report report = makeReport(now);
    if (groupsDue(now) || m_isCoordinator) {
        report.groups = m_groups;
    }
    const std::uint64_t version = m_source.evidenceVersion();
    if (version != m_meshEvidence.version || now - m_meshEvidence.sentAt >= evidenceInterval) {
        m_meshEvidence.version = version;
        m_meshEvidence.sentAt = now;
        report.evidence = m_source.evidence();
    }
    const std::string datagram = encodeLoadReport(report, now);
    for (const std::string &host : hosts) {
        send(host, datagram, control_kind::membership, now);
    }
}

std::chrono::milliseconds exchange_node::oldestDataCentreAge(time_point now) const
{
    std::map<std::string, time_point> heard;
    for (const auto &[host, known] : m_peers.all()) {
        if (known.heardAt != time_point {} && !known.dataCentre.empty() && known.dataCentre != m_dataCentre) {
            heard[known.dataCentre] = std::max(heard[known.dataCentre], known.heardAt);
        }
    }
    std::chrono::milliseconds oldest {0};
    for (const auto &[dataCentre, at] : heard) {
        oldest = std::max(oldest, millisecondsOf(now - at));
    }
    return oldest;
}

} // namespace bronzechute
