#pragma once

#include "balance/endpoint_load.h"
#include "balance/endpoint_view.h"
#include "balance/gateway_fleet.h"
#include "balance/load_forecast.h"
#include "balance/pass_latency_model.h"
#include "balance/stream_demand.h"
#include "gateway/endpoint_obstacle.h"
#include "gateway/endpoint_statement.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/group_state.h"
#include "gateway/service_health.h"
#include "gateway/unlisted_statements.h"
#include "quarantine/endpoint_run.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
     * replaces those that started at its address before, once a routing configuration names its service. A new endpoint
     * counts as cold, except in the initial list.
     * @returns the runs that the new one replaces
     */
    std::vector<endpoint_run> update(const endpoint_record &record, time_point now = boot_clock::now());

    /** Ends the initial list: endpoints that are listed later have started since. */
    void setInitialListComplete();

    /** Removes an endpoint. It gets no new requests; those in flight continue. */
    void remove(const std::string &id);

    /** Sets whether a data centre is in service. Otherwise its endpoints get no new requests. They may come back cold.
     */
    void setDataCentre(const std::string &name, bool inService, time_point now = boot_clock::now());

    /**
     * Applies a routing configuration: the rate limits of cold endpoints and the step-time models of the engines.
     * @param gateways number of gateways that share each rate limit
     */
    void applyRouting(const routing_table &table, int gateways);

    /** Sets which gateways share the rate limits of cold endpoints. */
    void setFleet(const gateway_fleet &fleet);

    /** @returns whether the endpoint is known to be warm. */
    static bool isWarm(const gateway_endpoint &endpoint, time_point now);

    /** Records a request that is sent to the endpoint. */
    static void recordSent(gateway_endpoint &endpoint, time_point now);

    /** Records that the endpoint did not respond to a request or a connection: it may be cold when it is back. */
    static void recordSilence(gateway_endpoint &endpoint, time_point now);

    /**
     * @returns the earliest time at which the rate limits allow this gateway a request to an endpoint of the service
     * that accepts requests; time_point::max() if none does
     */
    time_point rateAllowsAt(const std::string &service, time_point now) const;

    /**
     * Sets the work of the other gateways in flight, by endpoint id. Missing endpoints have none.
     * @param age mean age of the loads until the next ones; by default that of a full mesh of reports
     */
    void setPeerLoads(const std::map<std::string, endpoint_load> &loads,
                      std::chrono::milliseconds age = std::chrono::milliseconds {40});

    /** Records that a request of this gateway was placed. @param tokens that it asks for; 0 if they are not known */
    void recordPlaced(const gateway_endpoint &endpoint, std::int64_t tokens, time_point now);

    /** Records that a request of this gateway has ended. */
    void recordReleased(const gateway_endpoint &endpoint, time_point now);

    /** @returns the requests among which the choice for one is drawn, see placeRequest(). */
    double concurrentPlacements(const std::string &service, time_point now) const;

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
    void recordEvent(gateway_endpoint &endpoint, std::optional<boot_clock::duration> gap, time_point now);

    /** Records that the endpoint refused a request and named another endpoint as the cause. */
    void recordGroupRefusal(const gateway_endpoint &endpoint, time_point now);

    /** Records that the endpoint responded to a request. */
    void recordAnswer(gateway_endpoint &endpoint, time_point now);

    /**
     * Applies what a response says about its endpoint.
     * @param random spreads the end of a pause, so that the gateways that were told the same do not all return at once
     */
    void recordStatement(gateway_endpoint &endpoint, const endpoint_statement &statement, time_point now,
                         std::mt19937_64 &random);

    /** @returns whether the endpoint has said nothing that forbids a request now. */
    static bool wantsRequests(const gateway_endpoint &endpoint, time_point now);

    /**
     * @returns the earliest time at which an endpoint of a service may accept a request, by what endpoints have said
     * and by their entries: `now` unless all pause or leave, time_point::max() if all leave. Endpoints of data centres
     * out of service do not count.
     */
    time_point earliestRoom(const std::string &service, time_point now) const;

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
     * @returns the endpoints of a service in the order of endpointsOf(). Endpoints of a group at its concurrency limit
     *          are not usable
     */
    std::vector<endpoint_view> viewsOf(const std::string &service, std::span<const std::string> tried, time_point now);

    /** As viewsOf() without effect: group limits and forecasts are those of its last call. */
    std::vector<endpoint_view> lastViewsOf(const std::string &service, std::span<const std::string> tried,
                                           time_point now) const;

    /** @returns the first reason for which the endpoint gets no request now; nothing if it may get one. */
    std::optional<endpoint_obstacle> obstacleOf(const gateway_endpoint &endpoint, time_point now) const;

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
    static void noteListedLeaving(gateway_endpoint &endpoint);
    std::vector<endpoint_run> removePredecessors(const endpoint_record &record);
    void rebuild();
    void configureRates(gateway_endpoint &endpoint) const;
    boot_clock::duration coldPeriodOf(const std::string &service) const;
    static bool rateAllows(const gateway_endpoint &endpoint, time_point now);
    static void setAvoided(gateway_endpoint &endpoint, bool avoided, time_point now);
    std::vector<endpoint_work> workOf(const std::string &service) const;
    /** Advances what is foreseen of the other gateways' placements, if it is due. */
    void advanceForecast(const std::string &service, time_point now);
    void updateGroupLoads(const std::string &service, time_point now);
    bool acceptsRequests(const gateway_endpoint &endpoint, time_point now) const;
    /** As acceptsRequests(), without regard to a pause. */
    bool isInService(const gateway_endpoint &endpoint, time_point now) const;
    /** @returns why the endpoint is not in service; nothing if it is. */
    std::optional<endpoint_obstacle> outOfServiceReason(const gateway_endpoint &endpoint, time_point now) const;

    const std::string m_dataCentre;
    std::map<std::string, gateway_endpoint_ptr> m_endpoints;
    std::map<std::string, std::vector<gateway_endpoint_ptr>> m_byService;
    std::set<std::string> m_dataCentresOutOfService;
    std::optional<std::set<std::string>> m_services; ///< That the routing configuration names.
    std::map<std::string, std::shared_ptr<endpoint_group>> m_groups; ///< By name.
    std::map<std::string, pass_latency_model> m_paceModels; ///< By service.
    std::map<std::string, load_forecast> m_forecasts; ///< By service.
    std::map<std::string, service_health> m_health; ///< By service.
    std::map<std::string, double> m_coldRates; ///< Requests per second that a cold endpoint tolerates, by service.
    std::map<std::string, std::chrono::milliseconds> m_longestCold; ///< That was reported, by service.
    gateway_fleet m_fleet;
    unlisted_statements m_unlistedStatements;
    int m_gateways = 1; ///< Number of gateways that share the rate limits of warm endpoints.
    bool m_initialListComplete = false;
};

} // namespace bronzechute
