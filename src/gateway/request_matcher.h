#pragma once

#include "gateway/exchange_plan.h"
#include "gateway/gateway_request.h"
#include "gateway/wire_headers.h"

#include <memory>
#include <random>
#include <string>
#include <variant>

namespace bronzechute {

/** HTTP status and cause with which a request is rejected. */
struct request_rejection
{
    int status = 0;
    std::string cause;

    friend bool operator==(const request_rejection &, const request_rejection &) = default;
};

/**
 * Determines the route, the client account and the service of a request.
 *
 * @param table current routing table; null until the first one is known
 * @param random selects among the services of a route by weight
 */
std::variant<exchange_plan, request_rejection> matchRequest(const gateway_request &request,
                                                            std::shared_ptr<const routing_table> table,
                                                            const wire_headers &names, std::mt19937_64 &random);

} // namespace bronzechute
