#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** How a routed_endpoint serves. */
struct routed_endpoint_options
{
    std::string id;
    std::string service;
    std::uint16_t port = 0; ///< On the loopback address; 0: the kernel chooses.
    int slots = 8;
    int queue = 4; ///< Requests that wait for a slot; further ones are refused.
    std::chrono::milliseconds work {15}; ///< Of a request that is not a stream, and until the first event of one.
    int events = 8; ///< Of a stream.
    std::chrono::milliseconds eventInterval {30};
    std::chrono::milliseconds cold {0}; ///< After the start.
    double coldPerSecond = 0; ///< Requests tolerated while cold; 0: any number.
};

} // namespace bronzechute::standins
