#pragma once

#include "gateway/exchange_plan.h"
#include "gateway/gateway_request.h"
#include "gateway/wire_headers.h"

#include <memory>
#include <random>
#include <string>
#include <variant>

namespace bronzechute {

/** Why a request is not served, as a status of HTTP. */
struct request_rejection
{
    int status = 0;
    std::string cause;

    friend bool operator==(const request_rejection &, const request_rejection &) = default;
};

/**
 * Finds the route, the account and the service of a request.
 *
 * @param table in force; null before the first one is known
 * @param random selects among the services that share a route
 */
std::variant<exchange_plan, request_rejection> matchRequest(const gateway_request &request,
                                                            std::shared_ptr<const routing_table> table,
                                                            const wire_headers &names, std::mt19937_64 &random);

} // namespace bronzechute
