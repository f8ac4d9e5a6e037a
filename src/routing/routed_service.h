#pragma once

#include "routing/engine_profile.h"

#include <optional>
#include <string>

namespace bronzechute {

/** A named set of interchangeable endpoints; routes refer to it by its name. */
struct routed_service
{
    std::string name;
    int maxConnections = 0; ///< Connections that one endpoint accepts from all callers together; 0: not limited.
    double coldRequestsPerSecond = 0; ///< Request rate that an endpoint tolerates during cold start; 0: no cold start.
    std::optional<engine_profile> engine; ///< Present for model engines.

    friend bool operator==(const routed_service &, const routed_service &) = default;
};

} // namespace bronzechute
