#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of circuit_breaker. */
struct breaker_settings
{
    int consecutiveFailures = 5; ///< Consecutive failures that eject an endpoint.
    double lagFactor = 4; ///< An endpoint slower than this multiple of the median of its peers is ejected.
    int lagSamples = 10; ///< Responses needed before an endpoint is compared with its peers.
    double maxEjectedShare = 0.34; ///< Share of the pool that may be ejected at the same time.
    std::chrono::milliseconds initialEjectionTime {2000}; ///< Doubles with each further consecutive ejection.
    std::chrono::milliseconds maxEjectionTime {60000};
    std::chrono::milliseconds probeTimeout {10000}; ///< A probe without a result for this time counts as lost.
};

} // namespace bronzechute
