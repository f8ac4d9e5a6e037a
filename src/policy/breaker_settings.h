#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of circuit_breaker. */
struct breaker_settings
{
    int consecutiveFailures = 5; ///< Failures in a row that eject an endpoint.
    double lagFactor = 4; ///< An endpoint slower than this multiple of the median of its peers is ejected.
    int lagSamples = 10; ///< Answers needed before an endpoint is compared with its peers.
    double mostEjected = 0.34; ///< Share of the pool that may be ejected at the same time.
    std::chrono::milliseconds firstEjection {2000}; ///< Doubles with each further ejection in a row.
    std::chrono::milliseconds longestEjection {60000};
    std::chrono::milliseconds probeTimeout {10000}; ///< After it, a probe without a result counts as lost.
};

} // namespace bronzechute
