#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"
#include "base/boot_clock.h"
#include "gateway/load_report.h"

#include <map>
#include <string>
#include <vector>

namespace bronzechute {

/** Membership and load of the other gateways, derived from their load reports. */
class peer_loads
{
public:
    /** @param self host of this gateway, which is never treated as a peer */
    explicit peer_loads(std::string self);

    /**
     * Applies a report. One that is older than the last of the same process is ignored.
     * @returns whether the report is the first of a process
     */
    bool record(const std::string &host, const load_report &report, time_point now);

    /** Adds hosts that may be gateways. Reports are sent to them until they time out. */
    void addCandidates(const std::vector<std::string> &hosts, time_point now);

    /** @returns the work in flight of all live peers, by endpoint id. */
    std::map<std::string, endpoint_load> loads(time_point now) const;

    /** @returns the sum of the queues of all live peers for a service. */
    queue_summary queues(const std::string &service, time_point now) const;

    /** @returns the hosts of the peers that were heard or named lately, so that they may still be running. */
    std::vector<std::string> members(time_point now) const;

    /** @returns the number of live peers. */
    int alive(time_point now) const;

    /** @returns whether another gateway is the coordinator of expert maps. */
    bool anyPeerIsCoordinator(time_point now) const;

    /**
     * @param dataCentre data centre of this gateway
     * @returns whether gateways of other data centres are known and none of them has reported recently
     */
    bool isPartitioned(const std::string &dataCentre, time_point now) const;

    /** @returns the hosts to send reports to. */
    std::vector<std::string> targets(time_point now) const;

    /** @returns the hosts of the live peers. */
    std::vector<std::string> heardPeers(time_point now) const;

private:
    struct peer
    {
        time_point heardAt {};
        time_point namedAt {};
        load_report report;
    };

    static bool recent(const peer &known, time_point now);

    const std::string m_self;
    std::map<std::string, peer> m_peers; ///< By host.
};

} // namespace bronzechute
