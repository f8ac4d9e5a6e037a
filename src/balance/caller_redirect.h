#pragma once

#include "base/boot_clock.h"

#include <random>

namespace bronzechute {

/**
 * Decides when a gateway sends its callers to the gateways of other data centres. This is active while the gateway is
 * partitioned from those gateways and a service has no working endpoint. The gateway then reports itself not ready to
 * the deployment's load balancer, and the requests that it refuses carry a retry delay after which the balancer routes
 * the caller to another gateway.
 */
class caller_redirect
{
public:
    /**
     * Updates the decision.
     *
     * @param cutOff whether the gateways of all other data centres are unreachable
     * @param serviceFails whether all endpoints of some service fail to respond
     * @returns whether the decision has changed
     */
    bool update(bool cutOff, bool serviceFails, time_point now);

    bool active() const
    {
        return m_active;
    }

    /**
     * Computes the delay after which a refused caller should retry. Only meaningful while active().
     *
     * @param latest longest delay after which the caller still retries
     * @returns the delay, with random jitter
     */
    std::chrono::milliseconds retryDelay(time_point now, boot_clock::duration latest, std::mt19937_64 &random) const;

private:
    bool m_active = false;
    time_point m_activeSince {};
};

} // namespace bronzechute
