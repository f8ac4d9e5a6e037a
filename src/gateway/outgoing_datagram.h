#pragma once

#include <string>

namespace bronzechute {

/** A datagram to another gateway. */
struct outgoing_datagram
{
    std::string host;
    std::string bytes;
};

} // namespace bronzechute
