#pragma once

#include "expert_map/map_change.h"
#include "gateway/coordinator_term.h"
#include "gateway/endpoint_table.h"
#include "gateway/gateway_metrics.h"
#include "gateway/rank_engine_client.h"
#include "gateway/rank_group.h"
#include "gateway/service_demand.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Adapts the expert maps of all rank groups to the demand for experts, while this gateway holds the coordinator lease.
 * Used from the thread of the event loop.
 */
class map_coordinator
{
public:
    /** All arguments must outlive this object. */
    map_coordinator(boost::asio::io_context &loop, endpoint_table &endpoints, rank_engine_client &engines,
                    const coordinator_term &coordinatorTerm);

    void start();

    /** Performs the work that is due; called by a timer after start(). */
    void tick();

    /** Sets the routing configuration, which holds the properties of the engines. */
    void setRouting(std::shared_ptr<const routing_table> table);

    /** Starts no further map switches; those in progress are finished. */
    void stop();

    /** @returns whether a map switch is in progress. */
    bool switching() const;

    /** @returns the state of each group; empty while this gateway is not the coordinator. */
    std::vector<group_state> groupStates() const;

    /** Sets the callback for changed group states; must be called before start(). */
    void setGroupsListener(std::function<void()> onGroups);

private:
    void schedule();
    void applyTerm(std::int64_t term, time_point now);
    void discoverEngines(time_point now);
    void pollReport(rank_group &group, time_point now);
    void readSpeeds(rank_group &group, time_point now);
    void requestReport(const gateway_endpoint_ptr &endpoint, std::function<void()> onFailure);
    void onReport(const gateway_endpoint_ptr &endpoint, const rank_report &report);
    void applyEpoch(rank_group &group, const rank_report &report);
    void readMap(rank_group &group);
    void onExperts(const std::string &name, std::int64_t epoch, std::size_t rank, const result<rank_experts> &experts);
    void readDemand(const std::string &service, service_demand &demand, time_point now);
    void planSwitch(rank_group &group, const service_demand &demand, time_point now);
    void startSwitch(rank_group &group, map_change change, double selectionsPerExpert, time_point now);
    /** @returns whether the time between events comes near the target of the route. */
    bool isSlow(const rank_group &group, time_point now) const;
    /** @returns the group if its switch to this version is still in progress; null otherwise. */
    rank_group *groupWithSwitch(const std::string &key, std::int64_t version);
    /** @returns whether the lease still allows to begin something; applyTerm() follows with the next tick. */
    bool leads(time_point now) const;
    void advanceSwitch(rank_group &group, time_point now);
    void readSwitchStep(rank_group &group);
    void checkHeldSwitch(rank_group &group, time_point now);
    /** @returns whether a group of the service may need another map. */
    bool needsDemand(const std::string &service, time_point now) const;
    void finishSwitch(rank_group &group, time_point now);
    void recoverHeldGroup(rank_group &group, const rank_report &report);
    const engine_profile *profileOf(const std::string &service) const;
    static std::string groupKey(const std::string &service, const std::string &name);

    boost::asio::steady_timer m_timer;
    endpoint_table &m_endpoints;
    rank_engine_client &m_engines;
    const coordinator_term &m_coordinatorTerm;
    std::shared_ptr<const routing_table> m_table;
    std::map<std::string, rank_group> m_groups;
    std::map<std::string, std::shared_ptr<service_demand>> m_services;
    std::map<std::string, std::string> m_groupOfEndpoint; ///< By endpoint id.
    time_point m_discoverAt {};
    std::int64_t m_term = 0;
    std::int64_t m_versionTerm = 0; ///< Last term in which map versions could be issued.
    std::int64_t m_versionsIssued = 0; ///< Map versions issued in m_versionTerm.
    bool m_stopping = false;
    std::function<void()> m_onGroupStateChange;
};

} // namespace bronzechute
