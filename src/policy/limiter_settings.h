#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of adaptive_limiter. */
struct limiter_settings
{
    int maximum = 64; ///< Configured maximum of concurrent requests.
    int initial = 16; ///< Limit after the first cold start, while nothing is known about the engine.
    std::chrono::milliseconds firstTokenTarget {1600}; ///< The limit falls while first tokens take longer.
    std::chrono::milliseconds tokenTarget {66}; ///< The limit falls while later tokens take longer.
    double tokenTolerance = 1.1; ///< Measured time that still meets tokenTarget: an engine whose step is the target
                                 ///< itself measures a little above it, and a lower limit would not make it faster.
    double dropFactor = 3; ///< An answer this many times slower than warm speed counts as a drop.
    int dropAnswers = 3; ///< Consecutive drops that make the engine cold; one may be a long prompt.
    int dropCalls = 12; ///< The same for a plain service, whose calls differ more in their time than tokens do.
    double warmFactor = 1.5; ///< An answer up to this many times slower than warm speed is at warm speed.
    double serviceFactor = 2; ///< A plain service slower than this multiple of its warm speed is overloaded.
    std::chrono::milliseconds decreaseInterval {1000}; ///< At most one decrease in this time: effects take that long.
    double missShare = 0.2; ///< The limit falls while more than this share of the answers miss a target.
    double proofShare = 0.5; ///< Answers at warm speed that double the cap, as a share of the cap.
};

} // namespace bronzechute
