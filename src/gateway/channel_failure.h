#pragma once

#include <string>
#include <system_error>

namespace bronzechute {

/** Why an exchange with an endpoint ended without a whole answer. */
struct channel_failure
{
    bool sent = false; ///< Whether a byte of the request may have reached the endpoint.
    std::string step; ///< "connect", "write" or "read".
    std::string cause;

    friend bool operator==(const channel_failure &, const channel_failure &) = default;
};

} // namespace bronzechute
