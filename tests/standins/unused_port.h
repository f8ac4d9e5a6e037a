#pragma once

#include <cstdint>

namespace bronzechute::standins {

/**
 * @returns a TCP port on the loopback address on which nothing listens at the moment.
 */
std::uint16_t unusedPort();

} // namespace bronzechute::standins
