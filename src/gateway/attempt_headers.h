#pragma once

#include "base/boot_clock.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_request.h"
#include "gateway/wire_headers.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Builds the header fields of a request that is forwarded to an endpoint. Fields meant for the gateway only, such as
 * the API key, are removed; the remaining time, the client account and the target endpoint are set.
 *
 * @param endpoint id of the only endpoint that may run the request
 * @param resumeAfter id of the last event that was relayed to the caller from an earlier attempt
 */
header_list attemptHeaders(const gateway_request &request, const exchange_plan &plan, const wire_headers &names,
                           const std::string &endpoint, std::optional<std::int64_t> resumeAfter, time_point now);

} // namespace bronzechute
