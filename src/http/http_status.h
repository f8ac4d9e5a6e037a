#pragma once

namespace bronzechute {

// HTTP status codes that are sent or handled specially.
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusRequestTimeout = 408;
constexpr int statusGone = 410;
constexpr int statusConditionFailed = 412;
constexpr int statusBodyTooLarge = 413;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusHeadTooLarge = 431;
constexpr int statusServerError = 500; ///< Also the lower bound of the server error class (5xx).
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

} // namespace bronzechute
