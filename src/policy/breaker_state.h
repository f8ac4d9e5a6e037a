#pragma once

namespace bronzechute {

/** What the circuit breaker says about an endpoint. */
struct breaker_state
{
    bool ejected = false;
    bool probeAllowed = false; ///< Only with ejected: one request may be sent now.

    friend bool operator==(const breaker_state &, const breaker_state &) = default;
};

} // namespace bronzechute
