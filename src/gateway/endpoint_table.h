#pragma once

#include "balance/endpoint_view.h"
#include "balance/pace_model.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/group_state.h"
#include "gateway/service_health.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bronzechute {

/** The endpoints that a gateway may use, by id. Used from the thread of the event loop. */
class endpoint_table
{
public:
    /** @param dataCentre that this gateway is in */
    explicit endpoint_table(std::string dataCentre);

    /** Adds an endpoint or changes its record. A later start under a known id replaces the earlier one. */
    void update(const endpoint_record &record);

    /** The endpoint gets nothing new; requests under way go on. */
    void remove(const std::string &id);

    /** Endpoints of a data centre that is out of service get nothing new. */
    void setDataCentre(const std::string &name, bool inService);

    /**
     * Applies what a version says of services: rates of cold endpoints and the pace of engines.
     * @param gateways that share each rate
     */
    void applyRouting(const routing_table &table, int gateways);

    /** Takes over what the other gateways have under way; endpoints that are not named have nothing. */
    void setPeersRunning(const std::map<std::string, int> &running);

    /** Endpoints of a group that is not open get nothing until a later state, or until none has come for a while. */
    void setGroups(const std::vector<group_state> &groups, time_point now);

    const std::vector<gateway_endpoint_ptr> &endpointsOf(const std::string &service) const;

    /** @returns all endpoints, by id. */
    const std::map<std::string, gateway_endpoint_ptr> &all() const
    {
        return m_endpoints;
    }

    /** A stream of the endpoint has gone on. @param gap the pause before its event; nothing for the first one */
    void recordEvent(const gateway_endpoint &endpoint, std::optional<boot_clock::duration> gap, time_point now);

    /** The endpoint has refused a request because of another one. */
    void recordBrokenGroup(const gateway_endpoint &endpoint, time_point now);

    /** A request to the endpoint has been answered. */
    void recordAnswer(const gateway_endpoint &endpoint, time_point now);

    /** A request to the endpoint has ended without an answer. */
    void recordFailure(const gateway_endpoint &endpoint);

    /** @returns whether the service's endpoints have answered nothing for a while, although they were asked. */
    bool fails(const std::string &service, time_point now) const;

    /** @returns whether any service fails. */
    bool anyFails(time_point now) const;

    /**
     * @param tried endpoints that are not to be used again
     * @returns the endpoints of a service in the order of endpointsOf; those of a group that runs as many requests as
     * it may are not usable
     */
    std::vector<endpoint_view> viewsOf(const std::string &service, std::span<const std::string> tried, time_point now);

    /** @returns an endpoint by itself, without regard to how many requests its group runs. */
    endpoint_view viewOf(const gateway_endpoint &endpoint, std::span<const std::string> tried, time_point now) const;

    /** @returns whether an endpoint of the service takes work, at once or when a slot is free. */
    bool anyUsable(const std::string &service, time_point now) const;

    std::size_t size() const
    {
        return m_endpoints.size();
    }

private:
    void rebuild();
    void countGroups(const std::string &service, time_point now);
    bool takesWork(const gateway_endpoint &endpoint, time_point now) const;

    const std::string m_dataCentre;
    std::map<std::string, gateway_endpoint_ptr> m_endpoints;
    std::map<std::string, std::vector<gateway_endpoint_ptr>> m_byService;
    std::set<std::string> m_dataCentresOut;
    std::map<std::string, std::shared_ptr<endpoint_group>> m_groups; ///< By name.
    std::map<std::string, pace_model> m_paceModels; ///< By service.
    std::map<std::string, service_health> m_health; ///< By service.
};

} // namespace bronzechute
