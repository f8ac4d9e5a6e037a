#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** What a gateway knows of the gateways that share bounds with it, itself included. */
struct gateway_fleet
{
    std::string self; ///< Host of this gateway.
    std::vector<std::string> members {""}; ///< Hosts of all gateways, this one included.
    int highestCount = 1; ///< Highest number of members in the last minutes.
    bool discovered = true; ///< Whether this gateway has run long enough to know the others.
    int expectedCount = 1; ///< Number of gateways that the settings name, this one included.

    friend bool operator==(const gateway_fleet &, const gateway_fleet &) = default;
};

} // namespace bronzechute
