#pragma once

namespace bronzechute {

/** State of the circuit breaker for one endpoint. */
struct breaker_state
{
    bool ejected = false;
    bool probeAllowed = false; ///< Half-open: the endpoint is ejected, but one request may be sent now.

    friend bool operator==(const breaker_state &, const breaker_state &) = default;
};

} // namespace bronzechute
