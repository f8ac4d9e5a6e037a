#pragma once

#include <chrono>

namespace bronzechute {

/** How the length of a pass of a model engine depends on the requests that it runs, and how long a pass may last. */
struct pace_model
{
    double stepMs = 0; ///< Fixed part of a token step.
    double stepMsPerRequest = 0; ///< Added to a token step for each request that runs.
    double slots = 1; ///< Requests that an engine can run at the same time.
    std::chrono::milliseconds gapTarget {0}; ///< Longest pause between events with which a stream is in time; 0: none.

    friend bool operator==(const pace_model &, const pace_model &) = default;
};

} // namespace bronzechute
