#pragma once

#include "balance/waiting_request.h"

#include <cstddef>

namespace bronzechute {

/** State of a service's queue when a request arrives. */
struct queue_state
{
    std::size_t ahead = 0; ///< Queued requests that would be dispatched before the new one.
    boot_clock::duration startInterval {}; ///< Mean time between two dispatches; zero when unknown.
    boot_clock::duration arrivalInterval {}; ///< Mean time between two arrivals of first attempts; zero when unknown.
    bool anyUsable = true; ///< Whether the service has an endpoint that accepts requests.
    std::size_t ownSlots = 0; ///< This gateway's share of all slots of the service.
    /**
     * Share of the starts that late requests are assumed to get at least: the difference of the two measured rates is
     * unreliable, because both are measured over few requests.
     */
    double leastLateShare = 0.25;
    double returnsPerSecond = 0; ///< Expected callers that come back to a place, which late requests wait for.

    friend bool operator==(const queue_state &, const queue_state &) = default;
};

/** Whether a request may join the queue, and how long it is expected to wait there. */
struct admission_decision
{
    bool admitted = true;
    boot_clock::duration expectedWait {};

    friend bool operator==(const admission_decision &, const admission_decision &) = default;
};

/**
 * Decides whether a request joins the queue of its service. It is admitted if it is expected to start before it expires
 * and refused immediately otherwise. A request that can no longer meet its latency target gets only the capacity that
 * first attempts leave over, because they are dispatched first.
 *
 * While no endpoint is usable, nothing is known about when it starts. At the end of the outage all slots are free, so
 * as many requests may wait as can start then at once.
 */
admission_decision admit(const queue_state &queue, const waiting_request &request, time_point now);

} // namespace bronzechute
