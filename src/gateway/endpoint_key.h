#pragma once

#include <cstdint>
#include <string_view>

namespace bronzechute {

/**
 * @returns a short name of an endpoint in messages between gateways: the 32-bit xxHash of its id, the same in each
 * process. Two of 1,000 endpoints share one with a probability of about 1 in 10,000; both then show the load of both
 */
std::uint32_t endpointKey(std::string_view id);

} // namespace bronzechute
