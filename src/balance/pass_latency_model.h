#pragma once

#include <chrono>

namespace bronzechute {

/** Latency of one pass of a model engine as a function of its concurrent requests, and the longest accepted pass. */
struct pass_latency_model
{
    double stepMs = 0; ///< Fixed part of a token step.
    double stepMsPerRequest = 0; ///< Added to a token step for each concurrent request.
    double slots = 1; ///< Maximum number of concurrent requests of an engine.
    std::chrono::milliseconds gapTarget {0}; ///< Longest accepted gap between two stream events; 0: none declared.

    friend bool operator==(const pass_latency_model &, const pass_latency_model &) = default;
};

} // namespace bronzechute
