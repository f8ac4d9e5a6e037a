#pragma once

namespace bronzechute {

// HTTP status codes that are sent or handled specially.
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusMultipleChoices = 300; ///< Lower bound of the redirections (3xx).
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusRequestTimeout = 408;
constexpr int statusGone = 410;
constexpr int statusPreconditionFailed = 412;
constexpr int statusContentTooLarge = 413;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusHeaderFieldsTooLarge = 431;
constexpr int statusInternalServerError = 500; ///< Also the lower bound of the server error class (5xx).
constexpr int statusBadGateway = 502;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/** @returns whether the status is a success (2xx). */
constexpr bool isSuccessStatus(int status)
{
    return status >= statusOk && status < statusMultipleChoices;
}

} // namespace bronzechute
