#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** A team and its permissions in the administration API. */
struct operator_team
{
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each administration key, 64 lower-case hexadecimal digits.
    std::vector<std::string> pools; ///< Names of the pools that the team may change; "*" means all.
    std::vector<std::string> classes; ///< Names of the traffic classes that the team may change; "*" means all.
    bool isOperator = false; ///< Whether the team may change everything.

    friend bool operator==(const operator_team &, const operator_team &) = default;
};

} // namespace bronzechute
