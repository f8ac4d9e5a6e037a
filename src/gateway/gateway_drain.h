#pragma once

#include "base/boot_clock.h"
#include "gateway/drained_service.h"
#include "gateway/exchange_plan.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <optional>

namespace bronzechute {

/**
 * Ends a gateway's service to its callers as planned, so that each request it has taken is answered.
 *
 * The platform's load balancer needs some time to notice that the gateway is not ready. Requests that arrive until then
 * are all taken, later ones only if their time is over before the process ends. Then the gateway stops listening, waits
 * for what is in progress, and answers what is left near the end of the drain timeout.
 */
class gateway_drain
{
public:
    /** The service must outlive this object. */
    gateway_drain(boost::asio::io_context &loop, drained_service &service);

    /**
     * Ends the service. Called from another thread than that of the event loop.
     * @returns whether all requests ended by themselves
     */
    bool run(std::chrono::milliseconds timeout);

    /** @returns whether the service is being ended. May be called from any thread. */
    bool begun() const
    {
        return m_begun;
    }

    /** @returns whether any request is still taken. */
    bool takesRequests() const
    {
        return m_takesRequests;
    }

    /** @returns whether a request that arrives now is taken. */
    bool takes(const exchange_plan &plan, time_point now) const;

private:
    template<typename Function>
    auto runInLoop(Function function);
    /** Waits until nothing is in progress, but not less than until a time. @returns what is still in progress */
    std::size_t awaitRequests(time_point earliest, time_point latest);

    boost::asio::io_context &m_loop;
    drained_service &m_service;
    std::atomic<bool> m_begun {false};
    // Used in the event loop.
    bool m_takesRequests = true;
    std::optional<time_point> m_takeAllUntil; ///< Set when the drain has begun.
    time_point m_stopAt {}; ///< Responses must be complete by then.
};

} // namespace bronzechute
