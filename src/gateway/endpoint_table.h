#pragma once

#include "balance/endpoint_view.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/group_state.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <map>
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

    /** Applies the rates of cold endpoints of a version. @param gateways that share each rate */
    void applyColdRates(const routing_table &table, int gateways);

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

    /** @param tried endpoints that are not to be used again */
    endpoint_view viewOf(const gateway_endpoint &endpoint, std::span<const std::string> tried, time_point now) const;

    /** @returns whether an endpoint of the service takes work, at once or when a slot is free. */
    bool anyUsable(const std::string &service, time_point now) const;

    std::size_t size() const
    {
        return m_endpoints.size();
    }

private:
    void rebuild();
    bool takesWork(const gateway_endpoint &endpoint, time_point now) const;

    const std::string m_dataCentre;
    std::map<std::string, gateway_endpoint_ptr> m_endpoints;
    std::map<std::string, std::vector<gateway_endpoint_ptr>> m_byService;
    std::set<std::string> m_dataCentresOut;
    std::map<std::string, time_point> m_closedUntil; ///< By group; groups that are open are left out.
    std::map<std::string, std::string> m_groupOf; ///< By endpoint id.
};

} // namespace bronzechute
