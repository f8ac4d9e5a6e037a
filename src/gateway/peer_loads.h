#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"
#include "base/boot_clock.h"
#include "gateway/load_report.h"
#include "gateway/member_report.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** Membership of the gateways, and the load of those that report to this one. */
class peer_loads
{
public:
    /** What is known of another gateway. */
    struct peer
    {
        time_point heardAt {}; ///< Last sign of life, here or at a hub.
        time_point directAt {}; ///< Last report to this gateway.
        time_point namedAt {};
        std::uint64_t incarnation = 0;
        std::uint64_t formerIncarnation = 0;
        std::uint64_t sequence = 0;
        std::string dataCentre;
        bool isCoordinator = false;
        bool knowsHubs = false; ///< False for a process of an earlier version, or one that was never heard.
        bool followsStore = false; ///< Whether it understands store_message.
        std::map<std::uint32_t, endpoint_load> loads; ///< By endpointKey().
        std::map<std::string, queue_summary> queues; ///< By service.
    };

    /** @param self host of this gateway, which is never treated as a peer */
    explicit peer_loads(std::string self);

    /**
     * Applies a report. One that is older than the last of the same process is ignored.
     * @returns whether the report is the first of a process
     */
    bool record(const std::string &host, const load_report &report, time_point now);

    /** @copydoc record */
    bool record(const std::string &host, const member_report &report, time_point now);

    /**
     * A gateway showed, itself or through a hub, that it was alive at @p at.
     * @param knowsHubs whether its version does
     */
    void hearOf(const std::string &host, const std::string &dataCentre, bool knowsHubs, time_point at);

    /**
     * A gateway showed that it was alive and held the coordinator lease at @p at. Others in the scope no longer hold
     * it.
     * @param host empty if no gateway in the scope held it
     * @param dataCentre scope; all data centres if it is empty
     */
    void hearOfCoordinator(const std::string &host, const std::string &dataCentre, time_point at);

    /** Adds hosts that may be gateways. Reports are sent to them until they time out. */
    void addCandidates(const std::vector<std::string> &hosts, time_point now);

    /** @returns the work in flight of all peers that report here, apart from the excluded hosts, by endpointKey(). */
    std::map<std::uint32_t, endpoint_load> loads(const std::set<std::string> &excluded, time_point now) const;

    /** @returns the sums of the queues of all peers that report here, apart from the excluded hosts, by service. */
    std::map<std::string, queue_summary> queues(const std::set<std::string> &excluded, time_point now) const;

    /** @returns the hosts of the peers that were heard or named lately, so that they may still be running. */
    std::vector<std::string> members(time_point now) const;

    /** @returns the number of members(). */
    int memberCount(time_point now) const;

    /** @returns the number of live peers. */
    int alive(time_point now) const;

    /** @returns the host of another gateway that is the coordinator of expert maps; empty if there is none. */
    std::string coordinator(time_point now) const;

    /**
     * @param dataCentre data centre of this gateway
     * @returns whether gateways of other data centres are known and none of them has reported recently
     */
    bool isPartitioned(const std::string &dataCentre, time_point now) const;

    /** @returns the hosts to send reports to. */
    std::vector<std::string> targets(time_point now) const;

    /** @returns the hosts of the live peers. */
    std::vector<std::string> heardPeers(time_point now) const;

    /** @returns what is known of all hosts. */
    const std::map<std::string, peer> &all() const
    {
        return m_peers;
    }

    /** @returns whether the peer showed that it was alive lately. */
    static bool isAlive(const peer &known, time_point now);

    /** @returns whether the peer has reported to this gateway lately. */
    static bool reports(const peer &known, time_point now);

private:
    /** @returns whether the peer was heard or named lately, so that it may still be running. */
    static bool isMember(const peer &known, time_point now);

    /**
     * Records the sender of a report of either kind.
     * @param isNew set if the report is the first of a process
     * @returns the sender, to apply the rest of the report to; null if the report is to be ignored
     */
    template<typename Report>
    peer *accept(const std::string &host, const Report &report, time_point now, bool &isNew);

    const std::string m_self;
    std::map<std::string, peer> m_peers; ///< By host.
};

} // namespace bronzechute
