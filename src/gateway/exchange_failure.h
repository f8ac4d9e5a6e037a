#pragma once

#include <string>
#include <system_error>

namespace bronzechute {

/** Why an exchange with an endpoint ended without a complete response. */
struct exchange_failure
{
    bool sent = false; ///< Whether any byte of the request may have reached the endpoint.
    bool refused = false; ///< Nothing listens at the endpoint's address.
    std::string step; ///< "connect", "write" or "read".
    std::string cause;

    friend bool operator==(const exchange_failure &, const exchange_failure &) = default;
};

} // namespace bronzechute
