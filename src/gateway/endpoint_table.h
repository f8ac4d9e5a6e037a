#pragma once

#include "balance/endpoint_load.h"
#include "balance/endpoint_view.h"
#include "balance/pass_latency_model.h"
#include "balance/stream_demand.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/group_state.h"
#include "gateway/service_health.h"
#include "quarantine/endpoint_run.h"
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

/** Registry of the endpoints that a gateway knows, by id. Used from the thread of the event loop. */
class endpoint_table
{
public:
    /** @param dataCentre data centre of this gateway */
    explicit endpoint_table(std::string dataCentre);

    /**
     * Adds an endpoint or updates its record. A restart under a known id replaces the earlier entry, and a new endpoint
     * replaces those that started at its address before, once a routing configuration names its service.
     * @returns the runs that the new one replaces
     */
    std::vector<endpoint_run> update(const endpoint_record &record);

    /** Removes an endpoint. It gets no new requests; those in flight continue. */
    void remove(const std::string &id);

    /** Sets whether a data centre is in service. Otherwise its endpoints get no new requests. */
    void setDataCentre(const std::string &name, bool inService);

    /**
     * Applies a routing configuration: the rate limits of cold endpoints and the step-time models of the engines.
     * @param gateways number of gateways that share each rate limit
     */
    void applyRouting(const routing_table &table, int gateways);

    /** Sets the work of the other gateways in flight, by endpoint id. Missing endpoints have none. */
    void setPeerLoads(const std::map<std::string, endpoint_load> &loads);

    /**
     * Applies group states from the coordinator. The endpoints of a closed group get no requests until it is reported
     * open or the state expires.
     */
    void setGroups(const std::vector<group_state> &groups, time_point now);

    const std::vector<gateway_endpoint_ptr> &endpointsOf(const std::string &service) const;

    /** @returns all endpoints, by id. */
    const std::map<std::string, gateway_endpoint_ptr> &all() const
    {
        return m_endpoints;
    }

    /** Records an event of a stream. @param gap time since the previous event; absent for the first one */
    void recordEvent(const gateway_endpoint &endpoint, std::optional<boot_clock::duration> gap, time_point now);

    /** Records that the endpoint refused a request and named another endpoint as the cause. */
    void recordGroupRefusal(const gateway_endpoint &endpoint, time_point now);

    /** Records that the endpoint responded to a request. */
    void recordAnswer(const gateway_endpoint &endpoint, time_point now);

    /** Records an attempt that ended without a response. */
    void recordFailure(const gateway_endpoint &endpoint);

    /** @returns whether several attempts in a row got no response, and none has arrived for a while. */
    bool isFailing(const std::string &service, time_point now) const;

    /** @returns whether a stream can complete at the endpoint at the pace of its rank group, as far as it is known. */
    bool completes(const gateway_endpoint &endpoint, const stream_demand &demand, time_point now) const;

    /** @returns whether any service is failing. */
    bool anyServiceFailing(time_point now) const;

    /**
     * @param tried ids of endpoints that the request must not be sent to again
     * @param late whether the response misses its latency target in any case
     * @returns the endpoints of a service in the order of endpointsOf(). Endpoints of a group at its concurrency limit
     *          are not usable
     */
    std::vector<endpoint_view> viewsOf(const std::string &service, std::span<const std::string> tried, time_point now,
                                       bool late = false);

    /** Records that a request of this gateway was placed at the endpoint. */
    static void recordPlacement(const gateway_endpoint &endpoint);

    /** @returns the view of one endpoint, without the concurrency limit of its group. */
    endpoint_view viewOf(const gateway_endpoint &endpoint, std::span<const std::string> tried, time_point now) const;

    /**
     * @param demand what the request needs, if it is known
     * @returns whether the service has an endpoint that accepts requests, now or once a slot is free
     */
    bool anyUsable(const std::string &service, time_point now,
                   const std::optional<stream_demand> &demand = std::nullopt) const;

    std::size_t size() const
    {
        return m_endpoints.size();
    }

private:
    /** @returns whether the routing configuration names the service; true before the first configuration. */
    bool isNamed(const std::string &service) const;
    /** Removes the endpoints that started at the address before, if the entry is one of a named service. */
    std::vector<endpoint_run> removePredecessors(const endpoint_record &record);
    void rebuild();
    static void setAvoided(gateway_endpoint &endpoint, bool avoided, time_point now);
    void updateGroupLoads(const std::string &service, time_point now);
    void updateLimits(endpoint_group &group, const pass_latency_model &model, time_point now) const;
    bool acceptsRequests(const gateway_endpoint &endpoint, time_point now) const;

    const std::string m_dataCentre;
    int m_gateways = 1; ///< That share the groups.
    std::map<std::string, gateway_endpoint_ptr> m_endpoints;
    std::map<std::string, std::vector<gateway_endpoint_ptr>> m_byService;
    std::set<std::string> m_dataCentresOutOfService;
    std::optional<std::set<std::string>> m_services; ///< That the routing configuration names.
    std::map<std::string, std::shared_ptr<endpoint_group>> m_groups; ///< By name.
    std::map<std::string, pass_latency_model> m_paceModels; ///< By service.
    std::map<std::string, service_health> m_health; ///< By service.
};

} // namespace bronzechute
