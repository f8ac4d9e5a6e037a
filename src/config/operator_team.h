#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** Who may change what through the administration API. */
struct operator_team
{
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each administration key, 64 lower-case hexadecimal digits.
    std::vector<std::string> pools; ///< Names of pools that the team may change; "*" for all.
    std::vector<std::string> classes; ///< Names of traffic classes that the team may change; "*" for all.
    bool isOperator = false; ///< May change everything.

    friend bool operator==(const operator_team &, const operator_team &) = default;
};

} // namespace bronzechute
