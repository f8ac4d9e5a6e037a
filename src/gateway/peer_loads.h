#pragma once

#include "base/boot_clock.h"
#include "gateway/load_report.h"

#include <map>
#include <string>
#include <vector>

namespace bronzechute {

/** The other gateways of a deployment, from their reports. */
class peer_loads
{
public:
    /** @param self host of this gateway, which is no peer of its own */
    explicit peer_loads(std::string self);

    /** Takes over a report; an older one of the same process changes nothing. */
    void record(const std::string &host, const load_report &report, time_point now);

    /** Hosts that may be gateways; they are reported to until they have been silent for long. */
    void addCandidates(const std::vector<std::string> &hosts, time_point now);

    /** @returns requests under way at the gateways that were heard recently, by endpoint id. */
    std::map<std::string, int> running(time_point now) const;

    /** @returns how many other gateways were heard recently. */
    int alive(time_point now) const;

    /** @returns whether another gateway coordinates the expert maps. */
    bool anyCoordinates(time_point now) const;

    /**
     * @param dataCentre of this gateway
     * @returns whether gateways of other data centres are known and all of them have been silent for a while
     */
    bool cutOff(const std::string &dataCentre, time_point now) const;

    /** @returns hosts to report to. */
    std::vector<std::string> targets(time_point now) const;

    /** @returns hosts that were heard recently. */
    std::vector<std::string> heard(time_point now) const;

private:
    struct peer
    {
        time_point heardAt {};
        time_point learnedAt {};
        load_report report;
    };

    static bool recent(const peer &known, time_point now);

    const std::string m_self;
    std::map<std::string, peer> m_peers; ///< By host.
};

} // namespace bronzechute
