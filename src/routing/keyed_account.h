#pragma once

#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** A client account and the API keys that authenticate its requests. */
struct keyed_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Replaces the route's priority; 0 is the most urgent.

    friend bool operator==(const keyed_account &, const keyed_account &) = default;
};

} // namespace bronzechute
