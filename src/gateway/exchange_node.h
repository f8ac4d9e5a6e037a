#pragma once

#include "gateway/control_budget.h"
#include "gateway/exchange_source.h"
#include "gateway/hub_message.h"
#include "gateway/hub_rule.h"
#include "gateway/incoming_news.h"
#include "gateway/known_tables.h"
#include "gateway/outgoing_datagram.h"
#include "gateway/paced_hosts.h"
#include "gateway/peer_loads.h"
#include "gateway/table_writer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bronzechute {

class store_relay;

/**
 * Protocol of the exchange between gateways, without sockets and timers: what to send, and what is known.
 *
 * A few gateways send load reports to each other. More of them report to the hub of their data centre, which sends sums
 * to the hubs of the others and to its own members, see docs/design/gateway-exchange.md. Each gateway understands the
 * messages of both modes at any time. Used from one thread; has no clock of its own.
 */
class exchange_node
{
public:
    /** Largest number of gateways that send load reports to each other. */
    static constexpr int maxMeshGateways = 6;

    /**
     * @param self host of this gateway
     * @param incarnation random id of the process
     */
    exchange_node(std::string self, std::string node, std::string dataCentre, std::uint64_t incarnation,
                  exchange_source &source);

    /** Sets what the gateways share of the store, whose messages are carried; it must outlive this object. */
    void setStoreRelay(store_relay &relay);

    /** Adds hosts that may be gateways. */
    void addCandidates(const std::vector<std::string> &hosts, time_point now);

    /** Sets whether this gateway is the coordinator, and the states of the rank groups that it tells the others. */
    void setCoordinator(bool isCoordinator, std::vector<group_state> groups);

    /** @param host sender */
    incoming_news receive(const std::string &host, std::string_view datagram, time_point now);

    /**
     * Evidence that receive() returned was added to that of this gateway.
     * @param before exchange_source::evidenceVersion() before that; what was added need not go back
     */
    void onMerged(const std::string &host, std::uint64_t before);

    /** Called at least as often as tickInterval() says, and at once when there is news. */
    void tick(time_point now);

    /** @returns the time to the next call of tick(). */
    std::chrono::milliseconds tickInterval() const;

    /** @returns the mean age of what is known of the others' loads in calm. */
    std::chrono::milliseconds usualLoadAge() const;

    /** @returns the datagrams to send since the last call. */
    std::vector<outgoing_datagram> takeOutgoing();

    /** @returns the work of the other gateways in flight, by endpointKey(). */
    std::map<std::uint32_t, endpoint_load> othersLoads(time_point now) const;

    /** @returns the sum of the queues of the other gateways, by service. */
    std::map<std::string, queue_summary> othersQueues(time_point now) const;

    const peer_loads &peers() const
    {
        return m_peers;
    }

    bool isHubMode() const
    {
        return m_hubMode;
    }

    /** @returns whether this gateway is the hub of its data centre. */
    bool isHub() const
    {
        return m_hubMode && m_rule.acting();
    }

    /** @returns the host of the hub that this gateway follows; empty if there is none. */
    const std::string &hub() const
    {
        return m_rule.followed();
    }

    /** @returns the time since anything was heard of the other data centre that is heard least; 0 without others. */
    std::chrono::milliseconds oldestDataCentreAge(time_point now) const;

    /** @returns the number of datagrams that were left out to keep to the limit of control traffic. */
    std::uint64_t shedDatagrams() const
    {
        return m_shed;
    }

private:
    struct evidence_progress
    {
        std::uint64_t version = 0; ///< Of the evidence that was sent last.
        int repetitions = 0;
        time_point sentAt {};
        boot_clock::duration pause {}; ///< Until the next may follow; longer after more bytes.
    };

    // Mesh mode.
    void tickMesh(time_point now);
    bool groupsDue(time_point now) const;
    bool evidenceDue(time_point now) const;
    load_report makeReport(time_point now);

    // Hub mode.
    void updateMode(time_point now);
    void updateRule(time_point now);
    void sendMemberReport(time_point now);
    void sendTables(time_point now);
    void sendAllTable(time_point now);
    void sendOwnTable(time_point now);
    void sendNews(time_point now);
    void relayStore(time_point now);
    void sendGreetings(time_point now);
    void reportToEarlierVersions(time_point now);
    void greet(const std::string &host, const load_report &report, time_point now);
    void applyReport(const std::string &host, const member_report &report, time_point now);
    void applyTable(const std::string &host, load_table table, time_point now);
    void applyHubs(const std::string &host, const kept_table &kept, time_point now);
    void applyNews(const std::string &host, const exchange_news &news, time_point now, incoming_news &result);
    void reply(const std::string &host, const std::string &dataCentre, time_point now);
    bool send(const std::string &host, std::string bytes, control_kind kind, time_point now);

    int knownGateways() const;
    std::map<std::uint32_t, endpoint_load> ownLoadsByKey() const;
    /** @returns the tables that this gateway goes by. */
    std::vector<const kept_table *> usedTables(time_point now) const;
    std::vector<std::string> ownReporters(time_point now) const;
    /** @returns the hubs of the other data centres that are heard; and, of silent ones, those that may be the hub. */
    std::pair<std::vector<std::string>, std::vector<std::string>> otherHubs(time_point now) const;
    std::vector<std::string> newsTargets(time_point now) const;
    load_table emptyTable(bool ofAll, time_point now) const;
    void sendTableTo(const std::vector<std::string> &hosts, const std::vector<std::string> &silentHosts,
                     const load_table &table, time_point now);

    const std::string m_self;
    const std::string m_node;
    const std::string m_dataCentre;
    const std::uint64_t m_incarnation;
    exchange_source &m_source;
    store_relay *m_storeRelay = nullptr;
    peer_loads m_peers;
    std::vector<outgoing_datagram> m_outgoing;
    std::uint64_t m_sequence = 0; ///< Of the last report, in either mode.
    bool m_isCoordinator = false;
    std::vector<group_state> m_groups;
    bool m_groupsChanged = false;
    time_point m_groupsSentAt {};

    std::map<std::string, int> m_meshRunning; ///< Of the last report.
    time_point m_meshSentAt {};
    evidence_progress m_meshEvidence;
    int m_lastAlivePeers = 0;

    int m_otherGateways = 0; ///< As counted last.
    time_point m_gatewaysCountedAt {};
    bool m_hubMode = false;
    time_point m_hubModeUntil {}; ///< Because another gateway knows that there are enough.
    hub_rule m_rule;
    control_budget m_budget;
    std::uint64_t m_shed = 0;
    std::map<std::uint32_t, endpoint_load> m_reportedLoads;
    time_point m_reportSentAt {};
    time_point m_queuesSentAt {};
    std::map<std::string, queue_summary> m_reportedQueues;
    known_tables m_tables;
    table_writer m_allWriter;
    table_writer m_ownWriter;
    time_point m_allQueuesSentAt {};
    time_point m_ownQueuesSentAt {};
    std::string m_reportedHub; ///< To which the group states were sent last.
    std::map<std::string, std::string> m_hubs; ///< Last known host, by data centre.
    paced_hosts m_announcements; ///< Tables to hosts that are silent.
    std::map<std::string, evidence_progress> m_evidence; ///< By receiver.
    std::uint64_t m_newsSequence = 0;
    std::string m_lastNews; ///< The newest group states that were passed on.
    time_point m_lastNewsAt {};
    std::set<std::string> m_heardHubs; ///< Of other data centres, when the last table was sent.
    std::set<std::string> m_newsHubs; ///< Hubs of other data centres that had been heard by then.
    std::map<std::uint64_t, std::uint64_t> m_newsSeen; ///< Newest sequence of group states, by origin.
    paced_hosts m_greetings;
    paced_hosts m_replies;
    time_point m_probedAt {};
    time_point m_earlierVersionsAt {};
};

} // namespace bronzechute
