#pragma once

#include <string>

namespace bronzechute {

/** A VM in the platform's VM list, or an endpoint in the static list. */
struct listed_vm
{
    std::string name;
    std::string address; ///< IP address and port of the endpoint process.
    bool leaving = false;

    friend bool operator==(const listed_vm &, const listed_vm &) = default;
};

} // namespace bronzechute
