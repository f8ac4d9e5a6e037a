#pragma once

#include "balance/retry_limits.h"
#include "balance/room_share.h"
#include "balance/shared_queue.h"
#include "balance/windowed_retry_budget.h"
#include "gateway/endpoint_table.h"
#include "gateway/fleet_view.h"
#include "gateway/placement_client.h"
#include "gateway/placement_preview.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bronzechute {

/**
 * Assigns requests to endpoints: immediately while a slot is free, otherwise from the queue of their service. Used from
 * the thread of the event loop. The policies for admission and placement are in src/balance/.
 */
class request_dispatcher
{
public:
    request_dispatcher(boost::asio::io_context &loop, endpoint_table &endpoints, const retry_limits &limits,
                       std::uint64_t seed);

    /**
     * Places, queues or refuses a request.
     * @param request the request; its ticket is assigned here
     * @returns the ticket if the request was queued
     */
    std::optional<std::uint64_t> submit(const std::string &service, waiting_request request,
                                        const std::shared_ptr<placement_client> &client);

    /**
     * Tells what submit() would do with a request now, without an effect.
     * @param hasRoom whether an endpoint could take the request at once
     */
    placement_preview preview(const std::string &service, waiting_request request,
                              const std::optional<stream_demand> &demand, bool hasRoom, time_point now) const;

    /** Refuses all requests that wait, and those that are submitted later. */
    void close();

    /** Removes a request from the queue. */
    void withdraw(const std::string &service, std::uint64_t ticket);

    /**
     * Frees the slot of a request that was placed.
     * @param tokens as placement_client::tokens() told when it was placed
     */
    void release(const gateway_endpoint_ptr &endpoint, std::int64_t tokens = 0);

    /** Counts a caller's request, which adds to the retry budget of the service. */
    void countRequest(const std::string &service);

    /** Takes a retry from the budget of the service. @returns whether one was left */
    bool tryConsumeRetry(const std::string &service);

    /** @returns whether the budget of the service has a retry left. */
    bool hasRetry(const std::string &service);

    /** @returns whether an endpoint that the request has not tried accepts requests, with or without a free slot. */
    bool hasUntriedEndpoint(const std::string &service, const placement_client &client);

    /** @returns how many retries the budgets have refused. */
    std::uint64_t refusedRetries() const
    {
        return m_refusedRetries;
    }

    /** @param count number of gateways that share the slots */
    void setGateways(int count);

    /** Sets which gateways share the retry budgets. */
    void setFleet(const gateway_fleet &fleet);

    void setRetryLimits(const retry_limits &limits);

    /** Sets where the queues of the other gateways are known; null if nowhere. It must outlive this object. */
    void setFleetView(const fleet_view *view);

    /** Chooses when a caller that is refused should come back. The other gateways are told how many will. */
    std::chrono::milliseconds promiseReturn(const std::string &service, const return_terms &terms);

    /** @returns what the other gateways need to know of the queues, by service. */
    std::map<std::string, queue_summary> summaries() const;

    /** @returns the sum over all services. */
    share_counts shareCounts() const;

    /** @returns Jain's index over the accounts of the service in which it is lowest; see shared_queue::fairness(). */
    double fairness() const;

    /** @returns the number of accounts that have had more than their share, over all services. */
    std::size_t accountsOverShare() const;

    /** Serves the queues of all services; called when endpoints have become usable or free. */
    void serveQueues();

    std::size_t queueDepth() const;

    /** @returns the time until an endpoint of a service accepts requests; zero if that is now or not known. */
    boot_clock::duration knownWait(const std::string &service, time_point now) const;

    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    struct service_queue
    {
        shared_queue waiting;
        room_share room;
        std::map<std::uint64_t, std::shared_ptr<placement_client>> clients; ///< By ticket.
        windowed_retry_budget budget;
        time_point othersAt {}; ///< When the queues of the other gateways were read.
        time_point reportedAt {}; ///< When its counts were logged.
        time_point budgetReportedAt {}; ///< When a refused retry was logged.
    };

    service_queue &queueOf(const std::string &service);
    retry_limits ownRetryLimits(const std::string &service) const;
    std::size_t ownSlots(const std::string &service) const;
    void updateOthers(const std::string &service, service_queue &queue, time_point now);
    gateway_endpoint_ptr choose(const std::string &service, service_queue &queue, const waiting_request &request,
                                const placement_client &client);
    /** @returns whether the service works, but too slowly for the request. */
    bool isTooSlow(const std::string &service, const std::optional<stream_demand> &demand, time_point now) const;
    /** @returns the refusal of a request that need not come to a queue; nothing if it may. */
    std::optional<placement_preview> refusedAtOnce(const std::string &service, const waiting_request &request,
                                                   const std::optional<stream_demand> &demand, time_point now) const;
    /** @returns whether a request that is not placed at once may wait, and for how long. */
    placement_preview admissionOf(const std::string &service, const shared_queue &queue, waiting_request &request,
                                  time_point now) const;
    void place(service_queue &queue, const waiting_request &request, const gateway_endpoint_ptr &endpoint,
               const std::shared_ptr<placement_client> &client);
    void refuse(const std::string &service, service_queue &queue, const waiting_request &request,
                const std::shared_ptr<placement_client> &client, refusal reason, boot_clock::duration expectedWait);
    void refuseAll(const std::string &service, service_queue &queue, const std::vector<waiting_request> &requests,
                   refusal reason, boot_clock::duration expectedWait);
    static void logRefusedRetry(const std::string &service, service_queue &queue, time_point now);
    static void logCounts(const std::string &service, service_queue &queue, time_point now);
    void serveQueue(const std::string &service, service_queue &queue);
    void expire(const std::string &service, service_queue &queue, time_point now);
    /** @returns the time until the rate limits of cold endpoints allow a request; zero if none accepts requests. */
    boot_clock::duration rateDelay(const std::string &service, time_point now) const;
    void scheduleCheck();

    boost::asio::steady_timer m_timer;
    endpoint_table &m_endpoints;
    const fleet_view *m_fleetView = nullptr;
    retry_limits m_limits;
    const time_point m_startedAt; ///< Start of the process.
    std::map<std::string, service_queue> m_queues;
    std::uint64_t m_nextTicket = 1;
    int m_gatewayCount = 1;
    gateway_fleet m_fleet;
    bool m_checkScheduled = false;
    bool m_closed = false;
    std::uint64_t m_refusedRetries = 0;
    std::mt19937_64 m_random;
};

} // namespace bronzechute
