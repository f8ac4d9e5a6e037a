#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of adaptive_limiter. */
struct limiter_settings
{
    int maximum = 64; ///< Upper bound of the concurrency limit.
    int initial = 16; ///< Limit after the first cold start, while nothing is known about the engine.
    std::chrono::milliseconds firstTokenTarget {1600}; ///< The limit falls while first tokens take longer.
    std::chrono::milliseconds tokenTarget {66}; ///< The limit falls while later tokens take longer.
    double tokenTolerance = 1.1; ///< Multiple of tokenTarget that still meets it: an engine whose step takes exactly
                                 ///< the target measures slightly above it, and a lower limit would not speed it up.
    double slowdownFactor = 3; ///< A response more than this many times slower than warm speed counts as a slowdown.
    int slowdownAnswers = 3; ///< Consecutive slowdowns that make the engine cold; a single one may be a long prompt.
    int slowdownCalls = 12; ///< The same for a plain service, whose calls vary more in duration than tokens do.
    double warmFactor = 1.5; ///< A response up to this many times slower than warm speed is at warm speed.
    double serviceFactor = 2; ///< A plain service slower than this multiple of its warm time is overloaded.
    std::chrono::milliseconds decreaseInterval {1000}; ///< Minimum time between decreases; the effect of one takes it.
    double missShare = 0.2; ///< The limit falls while more than this share of the responses miss a target.
    double confirmationShare = 0.5; ///< Responses at warm speed that double the cap, as a share of the cap.
};

} // namespace bronzechute
