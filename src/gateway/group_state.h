#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** State of a rank group as the coordinator reports it to the other gateways. */
struct group_state
{
    std::string name; ///< Unique among all services.
    bool open = true; ///< Whether its engines accept requests; false while one of them is missing.
    std::vector<std::string> endpoints; ///< Ids of its known engines.
    std::vector<std::string> avoided; ///< Ids of engines so slow that the group serves more without requests on them.

    friend bool operator==(const group_state &, const group_state &) = default;
};

} // namespace bronzechute
