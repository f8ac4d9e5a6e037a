#pragma once

namespace bronzechute {

/** Who ended an attempt at an endpoint that was not answered. */
enum class attempt_end {
    by_endpoint, ///< The connection was lost.
    by_timeout, ///< The endpoint was silent for too long.
    abandoned, ///< The caller went away, or the gateway gave the attempt up.
};

} // namespace bronzechute
