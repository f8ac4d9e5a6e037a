#pragma once

#include <cstddef>
#include <cstdint>

namespace bronzechute {

/**
 * Published speed and size of the model engine of a service. An engine works in passes of several token steps for all
 * requests that run; prompts are read in chunks between the steps. Only stepsPerPass and the members about experts are
 * used so far.
 */
struct engine_profile
{
    int slots = 1; ///< Requests that run at the same time.
    std::int64_t memoryTokens = 0; ///< Tokens of all running requests that fit into memory.
    int stepsPerPass = 1; ///< Token steps of a pass that writes.
    double stepMs = 0; ///< Fixed part of a token step.
    double stepMsPerRequest = 0; ///< Added to a token step for each request that writes.
    double stepMsPerThousandTokens = 0; ///< Added to a token step for each 1,000 tokens of context.
    double promptTokensPerSecond = 0; ///< Reading speed.
    int chunkTokens = 0; ///< Most prompt tokens that are read in one step.
    double meanPromptTokens = 0; ///< Of this service's usual requests.
    double meanAnswerTokens = 0; ///< Of this service's usual requests.
    std::size_t expertLayers = 0; ///< Layers with experts; 0: the engines form no rank groups.
    std::size_t expertsPerLayer = 0;
    std::size_t expertPlaces = 0; ///< Experts of a layer that fit into the memory of a rank.
    std::size_t expertSpare = 0; ///< Experts of a layer that a rank can load beside those in use.
    double expertCopyMs = 0; ///< Time to load one expert.

    friend bool operator==(const engine_profile &, const engine_profile &) = default;
};

} // namespace bronzechute
