#pragma once

#include "balance/completion_rate.h"
#include "balance/repeat_budget.h"
#include "balance/repeat_limits.h"
#include "balance/waiting_line.h"
#include "gateway/endpoint_table.h"
#include "gateway/placement_client.h"

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
 * Hands requests to endpoints: at once while a slot is free, otherwise from the line of their service. Used from the
 * thread of the event loop. The decisions are in src/balance/.
 */
class request_dispatcher
{
public:
    request_dispatcher(boost::asio::io_context &loop, endpoint_table &endpoints, const repeat_limits &limits,
                       std::uint64_t seed);

    /**
     * Places a request, lets it wait or refuses it.
     * @param request its ticket is set here
     * @returns the ticket of a request that waits
     */
    std::optional<std::uint64_t> submit(const std::string &service, waiting_request request,
                                        const std::shared_ptr<placement_client> &client);

    /** The request no longer waits. */
    void withdraw(const std::string &service, std::uint64_t ticket);

    /** A request that was placed has ended. */
    void release(const gateway_endpoint_ptr &endpoint);

    /** A caller's request for the service has arrived. */
    void countRequest(const std::string &service);

    /** @returns whether a request may be sent to the service once more. */
    bool mayRepeat(const std::string &service);

    /** @param count of gateways that share the budgets */
    void setGateways(int count);

    void setRepeatLimits(const repeat_limits &limits);

    /** Endpoints have become usable or free. */
    void serveLines();

    std::size_t waiting() const;

    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    struct service_line
    {
        waiting_line line;
        completion_rate rate;
        completion_rate arrivals; ///< Of callers' first tries.
        std::map<std::uint64_t, std::shared_ptr<placement_client>> clients; ///< By ticket.
        repeat_budget budget;
    };

    service_line &lineOf(const std::string &service);
    repeat_limits ownLimits() const;
    gateway_endpoint_ptr choose(const std::string &service, std::span<const std::string> tried);
    void place(const gateway_endpoint_ptr &endpoint, const std::shared_ptr<placement_client> &client);
    void serveLine(const std::string &service, service_line &line);
    void expire(service_line &line, time_point now);
    void scheduleCheck();

    boost::asio::steady_timer m_timer;
    endpoint_table &m_endpoints;
    repeat_limits m_limits;
    std::map<std::string, service_line> m_lines;
    std::uint64_t m_nextTicket = 1;
    int m_gateways = 1;
    bool m_checkScheduled = false;
    std::mt19937_64 m_random;
};

} // namespace bronzechute
