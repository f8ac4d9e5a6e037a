#pragma once

#include <string>
#include <vector>

namespace bronzechute {

/** A customer that sends requests and is identified by its API keys. */
struct client_account
{
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each API key, 64 lower-case hexadecimal digits.
    int share = 1; ///< Weight for fair sharing among accounts, at least 1.

    friend bool operator==(const client_account &, const client_account &) = default;
};

} // namespace bronzechute
