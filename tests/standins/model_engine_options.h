#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** How a stand-in engine behaves. */
struct model_engine_options
{
    std::uint16_t port = 0; ///< 0: the kernel chooses.
    std::string model = "iroda-nyelv";
    std::chrono::microseconds step {20000}; ///< Time of a step with one sequence.
    std::chrono::microseconds stepGrowth {100}; ///< Added for each further sequence of the batch.
    std::chrono::microseconds prefillPerToken {50}; ///< For each prompt token that is not cached.
    std::size_t maximumBatch = 512; ///< Further requests wait.
    std::size_t cacheBlocks = 4096; ///< Capacity of the prefix cache.
    std::chrono::milliseconds metricsLag {500}; ///< Age of the load on the metrics page.
    int coldRequests = 0; ///< Cold after start until so many requests are complete.
    double coldFactor = 4; ///< Multiplies the step time while cold.
    std::size_t coldLimit = 4; ///< A larger batch while cold makes the engine fall over.
    std::chrono::milliseconds fallOver {3000}; ///< How long it then answers nothing.
    std::uint64_t maximumTokens = 100000; ///< Upper bound of max_tokens.
};

} // namespace bronzechute::standins
