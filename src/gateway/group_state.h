#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** What the coordinator tells the other gateways of a rank group. */
struct group_state
{
    std::string name; ///< Unique among all services.
    bool open = true; ///< Its engines take work; false while one of them is missing.
    std::vector<std::string> endpoints; ///< Ids of its engines, as far as they are known.

    friend bool operator==(const group_state &, const group_state &) = default;
};

} // namespace bronzechute
