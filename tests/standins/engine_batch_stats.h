#pragma once

#include <cstddef>
#include <cstdint>

namespace bronzechute::standins {

/** What an engine_batch has done since it started. */
struct engine_batch_stats
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0; ///< The client left before the end.
    std::uint64_t tokens = 0;
    std::uint64_t steps = 0;
    double tokenSeconds = 0; ///< Time of the step, summed over all tokens.
    std::uint64_t fallOvers = 0;
    std::uint64_t cachedPrompts = 0; ///< Prompts of which a prefix was cached.
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t peak = 0; ///< Largest number of requests running and waiting.
    std::size_t peakWhileCold = 0;
    double cacheUsage = 0;
    bool cold = false;
};

} // namespace bronzechute::standins
