#pragma once

#include "gateway/endpoint_explanation.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** What a gateway would do with a request now, and why. */
struct request_explanation
{
    std::string route;
    std::string account; ///< Empty for an anonymous request.
    std::string service;
    int priority = 0; ///< 0 is the most urgent.
    std::int64_t tokens = 0; ///< That the request asks for; 0 if it declares none.
    std::chrono::milliseconds timeLeft {0}; ///< Until its deadline.
    std::string decision; ///< "placed", "queued", "refused" or "rejected".
    std::string cause; ///< Of a refusal, as the log line of the request has it.
    int status = 0; ///< HTTP status of a refusal; 0 if it is not refused.
    std::optional<std::chrono::milliseconds> retryAfter; ///< About what a refused caller would be told.
    std::size_t ahead = 0; ///< Queued requests that would be dispatched before it.
    std::chrono::milliseconds expectedWait {0};
    std::vector<endpoint_explanation> endpoints; ///< Of the service, in the order of their ids.

    friend bool operator==(const request_explanation &, const request_explanation &) = default;
};

/** @returns the explanation with snake-case keys; fields that do not apply are null. */
nlohmann::json toJson(const request_explanation &explanation);

} // namespace bronzechute
