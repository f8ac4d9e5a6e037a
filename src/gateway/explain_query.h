#pragma once

#include "base/boot_clock.h"
#include "base/result.h"
#include "gateway/gateway_request.h"

#include <string_view>

namespace bronzechute {

/** Path of the status listener that explains what would be done with a request. */
inline constexpr std::string_view explainPath = "/explain";

/**
 * Reads the description of a request.
 * @param query "target=/PATH&field=NAME:VALUE&field=…" with percent escapes
 * @param now time at which the request is taken to arrive
 * @returns errc::invalid_argument if a parameter is unknown, malformed or missing
 */
result<gateway_request> parseExplainQuery(std::string_view query, time_point now);

} // namespace bronzechute
