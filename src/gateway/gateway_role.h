#pragma once

#include "balance/caller_redirect.h"
#include "balance/recent_peak.h"
#include "balance/retry_detector.h"
#include "base/result.h"
#include "gateway/coordinator_lease.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_drain.h"
#include "gateway/gateway_listener.h"
#include "gateway/gateway_options.h"
#include "gateway/load_exchange.h"
#include "gateway/map_coordinator.h"
#include "gateway/memory_budget.h"
#include "gateway/quarantine_record.h"
#include "gateway/request_handler.h"
#include "gateway/request_matcher.h"
#include "gateway/store_relay.h"
#include "node/node_role.h"
#include "routing/routing_observer.h"
#include "routing/routing_source.h"

#include <map>
#include <memory>
#include <thread>

namespace bronzechute {

/**
 * Node role of a reverse proxy for deployments that run no bronzechute process next to the endpoints: it accepts
 * callers and forwards their requests directly to the endpoints. One event loop serves all requests.
 */
class gateway_role : public node_role,
                     public request_handler,
                     public routing_observer,
                     public session_options,
                     private drained_service
{
public:
    /** Starts the listeners and the event loop. @returns errc::unavailable if an address cannot be bound */
    static result<std::unique_ptr<gateway_role>> start(const daemon_settings &settings, gateway_options options);

    ~gateway_role() override;

    std::string addresses() const override;
    bool drain() override;
    void reload(const daemon_settings &settings) override;

    bool refuses(const gateway_request &head) override;
    std::shared_ptr<running_exchange> handle(gateway_request request,
                                             std::shared_ptr<caller_response> response) override;

    void onRouting(std::shared_ptr<const routing_table> table) override;
    void onEndpoint(const endpoint_record &record) override;
    void onEndpointGone(const std::string &id) override;
    void onDataCentre(const std::string &name, bool inService) override;
    void onInitialListComplete() override;

    caller_limits limits() const override;
    bool closing() const override;

private:
    /** Serves the readiness check of the platform's load balancer and the metrics endpoint. */
    class status_handler : public request_handler
    {
    public:
        explicit status_handler(gateway_role &role) : m_role(role)
        {
        }

        bool refuses(const gateway_request &) override
        {
            return true; // Nothing that is served here has a body.
        }

        std::shared_ptr<running_exchange> handle(gateway_request request,
                                                 std::shared_ptr<caller_response> response) override;

    private:
        gateway_role &m_role;
    };

    gateway_role(const daemon_settings &settings, gateway_options options);
    result<void> listen();
    bool ready() const;
    /** Answers a question of what would be done with a request. @param query of the question */
    void explain(std::string_view query, caller_response &response) const;
    void applyRoutingTable(std::shared_ptr<const routing_table> table);
    void updateGatewayShares();
    void updateFleet(time_point now);
    void publishGroupStates();
    void monitorReachability();
    void startCoordinator();
    void startQuarantineRecord();
    void pollCoordinatorLease();
    void reject(const gateway_request &request, const request_rejection &rejection, caller_response &response);
    void registerGauges();
    void registerStoreGauges();
    void monitorMemory();
    void beginDrain() override;
    void stopTaking() override;
    std::size_t inProgress() override;
    void endRequests() override;

    daemon_settings m_settings; ///< Accessed only by the thread that starts, reloads and drains.
    const gateway_options m_options;
    memory_budget m_memory; ///< Before the loop, whose handlers hold sessions, which return their memory.
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    metrics_registry m_registry;
    gateway_metrics m_metrics;
    endpoint_table m_endpoints;
    request_dispatcher m_dispatcher;
    caller_redirect m_redirect;
    crash_guard m_guard;
    gateway_context m_context;
    store_relay m_storeRelay;
    load_exchange m_loadExchange;
    status_handler m_status;
    gateway_listener m_callers;
    gateway_listener m_statusListener;
    gateway_drain m_drain;
    boost::asio::steady_timer m_leasePollTimer;
    boost::asio::steady_timer m_reachabilityTimer;
    boost::asio::steady_timer m_memoryTimer;
    std::uint64_t m_reportedRefusals = 0; ///< Of memory and connections, when they were logged last.
    bool m_memoryHeld = false; ///< Whether much memory was held since freed memory was returned last.
    std::unique_ptr<platform_store> m_leaseStore;
    std::unique_ptr<coordinator_lease> m_lease;
    std::unique_ptr<platform_store> m_quarantineStore;
    std::unique_ptr<quarantine_record> m_quarantineRecord;
    std::unique_ptr<rank_engine_client> m_engines;
    std::unique_ptr<map_coordinator> m_coordinator;
    time_point m_coordinatorAbsentSince {};
    std::shared_ptr<const routing_table> m_table;
    bool m_initialListComplete = false;
    int m_gatewayCount = 0;
    gateway_fleet m_fleet;
    recent_peak m_fleetSize;
    std::map<std::string, retry_detector> m_retryDetectors; ///< By route.
    std::unique_ptr<routing_source> m_source;
    std::thread m_thread;
};

} // namespace bronzechute
