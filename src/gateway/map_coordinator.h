#pragma once

#include "expert_map/demand_tracker.h"
#include "gateway/coordinator_term.h"
#include "gateway/endpoint_table.h"
#include "gateway/gateway_metrics.h"
#include "gateway/rank_engine_client.h"
#include "gateway/rank_group.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Keeps the expert maps of all rank groups in line with demand, while this gateway holds the coordinator's lease. Used
 * from the thread of the event loop.
 */
class map_coordinator
{
public:
    /** All have to outlive this object. */
    map_coordinator(boost::asio::io_context &loop, endpoint_table &endpoints, rank_engine_client &engines,
                    const coordinator_term &leadership);

    void start();

    /** Does what is due; called by a timer once started. */
    void tick();

    /** Takes over the engines' properties of a version. */
    void setRouting(std::shared_ptr<const routing_table> table);

    /** Starts no further switch; those under way are finished. */
    void stop();

    /** @returns whether a group is being switched. */
    bool switching() const;

    /** @returns the state of each group, while this gateway coordinates. */
    std::vector<group_state> groupStates() const;

    /** @param onGroups called when the state of a group has changed; set before start() */
    void setGroupsListener(std::function<void()> onGroups);

private:
    struct service_state
    {
        demand_tracker demand;
        std::string source; ///< Id of the endpoint whose counts are read.
        time_point countsDue {};
        time_point countsReadAt {};
        bool countsAsked = false;
        std::optional<load_matrix> known; ///< Newest demand, also while the tracker begins anew.
        time_point knownAt {};
        time_point shiftedAt {}; ///< When a sample last differed from the one before.
    };

    void schedule();
    void adoptTerm(std::int64_t term, time_point now);
    void discover(time_point now);
    void monitor(rank_group &group, time_point now);
    void askReport(const gateway_endpoint_ptr &endpoint, std::function<void()> onFailure);
    void onReport(const gateway_endpoint_ptr &endpoint, const rank_report &report);
    void adoptEpoch(rank_group &group, const rank_report &report);
    void readMap(rank_group &group);
    void onExperts(const std::string &name, std::int64_t epoch, std::size_t rank, const result<rank_experts> &experts);
    void readDemand(const std::string &service, service_state &state, time_point now);
    void decide(rank_group &group, const service_state &state, time_point now);
    /** @returns whether the group's streams come near the longest pause that callers accept. */
    bool slow(const rank_group &group) const;
    /** @returns the group while the switch to this version is under way; null when it has ended meanwhile. */
    rank_group *groupInSwitch(const std::string &key, std::int64_t version);
    void drive(rank_group &group, time_point now);
    void locate(rank_group &group);
    void check(rank_group &group, time_point now);
    bool anySlow(const std::string &service) const;
    void finish(rank_group &group, time_point now);
    void resumeHeld(rank_group &group, const rank_report &report);
    const engine_profile *profileOf(const std::string &service) const;
    static std::string groupKey(const std::string &service, const std::string &name);

    boost::asio::steady_timer m_timer;
    endpoint_table &m_endpoints;
    rank_engine_client &m_engines;
    const coordinator_term &m_leadership;
    std::shared_ptr<const routing_table> m_table;
    std::map<std::string, rank_group> m_groups;
    std::map<std::string, service_state> m_services;
    std::map<std::string, std::string> m_groupOfEndpoint; ///< By endpoint id.
    time_point m_discoverAt {};
    std::int64_t m_term = 0;
    std::int64_t m_versions = 0; ///< Given out in this term.
    bool m_stopping = false;
    std::function<void()> m_onGroups;
};

} // namespace bronzechute
