#pragma once

#include <chrono>

namespace bronzechute {

/** Bound of repeated sends to one service, over all gateways together. */
struct repeat_limits
{
    std::chrono::milliseconds window {10000};
    double share = 0.1; ///< Repeats for each request of the window.
    double fixed = 10; ///< Repeats that are allowed beside that, shared by all gateways.

    friend bool operator==(const repeat_limits &, const repeat_limits &) = default;
};

} // namespace bronzechute
