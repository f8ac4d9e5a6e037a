#pragma once

#include "base/boot_clock.h"

#include <random>

namespace bronzechute {

/**
 * Decides when a gateway leaves its callers to those of other data centres: while it is cut off from them and cannot
 * serve a service. It then tells the deployment's balancer that it is not ready, and refuses what it cannot serve with
 * a return time at which callers reach another gateway.
 */
class caller_redirect
{
public:
    /**
     * @param cutOff whether the gateways of all other data centres are out of reach
     * @param serviceFails whether the endpoints of a service give no answers
     * @returns whether the decision has changed
     */
    bool update(bool cutOff, bool serviceFails, time_point now);

    bool active() const
    {
        return m_active;
    }

    /** @returns when a refused caller is to return; only of use while active. @param latest that it returns at all */
    std::chrono::milliseconds returnAfter(time_point now, boot_clock::duration latest, std::mt19937_64 &random) const;

private:
    bool m_active = false;
    time_point m_since {};
};

} // namespace bronzechute
