#pragma once

#include <chrono>

namespace bronzechute {

/** Limits of the retries to one service, over all gateways together. */
struct retry_limits
{
    std::chrono::milliseconds window {10000};
    double share = 0.1; ///< Retries allowed per request in the window.
    double fixed = 10; ///< Additional retries allowed in the window, shared by all gateways.

    friend bool operator==(const retry_limits &, const retry_limits &) = default;
};

} // namespace bronzechute
