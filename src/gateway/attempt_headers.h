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
 * @param endpoint id of the only endpoint that may run the request
 * @param resumeAfter id of the last event that the caller has got from an earlier attempt
 * @returns the header fields of a caller's request on its way to an endpoint: what is between the caller and the
 * gateway alone is left out, and the time that is left, the account and the endpoint are set
 */
header_list attemptHeaders(const gateway_request &request, const exchange_plan &plan, const wire_headers &names,
                           const std::string &endpoint, std::optional<std::int64_t> resumeAfter, time_point now);

} // namespace bronzechute
