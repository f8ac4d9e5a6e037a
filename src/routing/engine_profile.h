#pragma once

#include <cstddef>
#include <cstdint>

namespace bronzechute {

/**
 * Published speed and capacity of a service's model engine. An engine works in passes, each of several token steps for
 * all running requests (continuous batching), and processes prompts in chunks between the steps.
 */
struct engine_profile
{
    int slots = 1; ///< Maximum number of concurrent requests.
    std::int64_t memoryTokens = 0; ///< Tokens of all running requests that fit into memory together.
    int stepsPerPass = 1; ///< Token steps of a decode pass.
    double stepMs = 0; ///< Fixed part of a token step.
    double stepMsPerRequest = 0; ///< Added to a token step for each decoding request.
    double stepMsPerThousandTokens = 0; ///< Added to a token step for each 1,000 tokens of context.
    double promptTokensPerSecond = 0; ///< Prefill throughput.
    int chunkTokens = 0; ///< Maximum number of prompt tokens processed in one step.
    double meanPromptTokens = 0; ///< Mean prompt length of the service's requests.
    double meanAnswerTokens = 0; ///< Mean response length of the service's requests.
    std::size_t expertLayers = 0; ///< Mixture-of-experts layers; 0: the engines form no rank groups.
    std::size_t expertsPerLayer = 0;
    std::size_t expertSlots = 0; ///< Experts of one layer that fit into the memory of a rank.
    std::size_t spareExpertSlots = 0; ///< Experts of one layer that a rank can load in addition to those in use.
    double expertCopyMs = 0; ///< Time to load one expert.

    friend bool operator==(const engine_profile &, const engine_profile &) = default;
};

} // namespace bronzechute
