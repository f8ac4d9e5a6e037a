#pragma once

#include <string>
#include <string_view>

namespace bronzechute::standins {

/** @returns the body that every routed_endpoint makes for a request that is not a stream. */
std::string routedBody(std::string_view requestId, std::string_view target);

/** @returns an event of the stream that every routed_endpoint makes for a request; events count from 1. */
std::string routedEvent(std::string_view requestId, int number);

/** @returns the signature that belongs to the request's answer. */
std::string routedSignature(std::string_view requestId);

} // namespace bronzechute::standins
