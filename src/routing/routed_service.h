#pragma once

#include "routing/engine_profile.h"

#include <optional>
#include <string>

namespace bronzechute {

/** A set of interchangeable endpoints that routes refer to by name. */
struct routed_service
{
    std::string name;
    int maxConnections = 0; ///< Connections that one endpoint accepts from all callers together; 0: not limited.
    double coldRequestsPerSecond = 0; ///< What an endpoint in cold start tolerates; 0: no cold start.
    std::optional<engine_profile> engine; ///< Present for model engines.

    friend bool operator==(const routed_service &, const routed_service &) = default;
};

} // namespace bronzechute
