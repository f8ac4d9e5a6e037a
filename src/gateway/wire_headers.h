#pragma once

#include <string>

namespace bronzechute {

/** Deployment-specific names of the header fields that callers, gateway and endpoints exchange. */
struct wire_headers
{
    std::string requestId = "X-Request-Id"; ///< Id of one attempt of a caller; endpoints echo it in their responses.
    std::string timeLeft = "X-Timeout-Ms"; ///< Time in ms for which the sender waits for the complete response.
    std::string targetEndpoint = "X-Target-Endpoint"; ///< Id of the only endpoint that may run the request.
    std::string account = "X-Account"; ///< Name of the client account, set by the gateway.
    std::string notRun = "X-Not-Run"; ///< In a refusal by an endpoint: the request has not run and will not run.
    std::string faultEndpoint = "X-Fault-Endpoint"; ///< In a refusal: id of the endpoint that caused it.
    std::string leaving = "X-Leaving"; ///< "1" in each response of an endpoint that finishes its work and then ends.
    std::string signature = "X-Signature"; ///< In each response of an endpoint that ran the request.
    std::string tokenCounts = "X-Tokens"; ///< Prompt tokens and maximum answer tokens, comma-separated.
    std::string answerLength = "X-Answer-Tokens"; ///< The caller's estimate of the number of answer tokens.
    std::string promptParts =
        "X-Prompt-Parts"; ///< Ids of the prompt's parts with their tokens; see sharedPromptParts().
    std::string keyScheme = "Bearer"; ///< Authorization scheme of API keys.
    std::string readyPath = "/ready"; ///< Path of the readiness check of the platform's load balancer.

    friend bool operator==(const wire_headers &, const wire_headers &) = default;
};

} // namespace bronzechute
