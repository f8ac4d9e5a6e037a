#pragma once

#include <string>

namespace bronzechute {

/** A service that receives a share of a route's requests. */
struct weighted_service
{
    std::string service;
    int weight = 1; ///< Relative to the other services of the route.

    friend bool operator==(const weighted_service &, const weighted_service &) = default;
};

} // namespace bronzechute
