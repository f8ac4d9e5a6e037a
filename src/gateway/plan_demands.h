#pragma once

#include "balance/stream_demand.h"
#include "balance/waiting_request.h"
#include "gateway/exchange_plan.h"

#include <optional>

namespace bronzechute {

/**
 * @param eventsRelayed events that the caller has received already
 * @returns what the stream still needs; nothing if its length is not known or it is no stream
 */
std::optional<stream_demand> streamDemandOf(const exchange_plan &plan, double eventsRelayed);

/**
 * @param arrivedAt arrival of the request at this gateway
 * @param isRepeat whether an endpoint has been tried already
 * @param outage whether no endpoint of the service accepts requests
 * @returns the request as the queue of its service treats it, without a ticket
 */
waiting_request waitingRequestOf(const exchange_plan &plan, time_point arrivedAt, bool isRepeat, bool outage,
                                 time_point now);

/** @returns the longest time after which a refused caller may be asked to come back. */
boot_clock::duration retryTimeLimit(const exchange_plan &plan, time_point now);

} // namespace bronzechute
