#pragma once

#include <string>

namespace bronzechute {

/** Names of the header fields by which a deployment's callers and endpoints convey what the gateway needs. */
struct wire_headers
{
    std::string requestId = "X-Request-Id"; ///< Of one attempt of a caller; endpoints repeat it in their answers.
    std::string timeLeft = "X-Timeout-Ms"; ///< How long the sender waits for the whole answer, in ms.
    std::string targetEndpoint = "X-Target-Endpoint"; ///< Id of the only endpoint that may run the request.
    std::string account = "X-Account"; ///< Name of the client account, set by the gateway.
    std::string notRun = "X-Not-Run"; ///< In an endpoint's refusal: the request has not run and will not.
    std::string faultEndpoint = "X-Fault-Endpoint"; ///< In a refusal: id of the endpoint that is the cause of it.
    std::string signature = "X-Signature"; ///< In each answer of an endpoint that ran the request.
    std::string tokenCounts = "X-Tokens"; ///< Tokens of the prompt and most tokens of the answer, with a comma between.
    std::string keyScheme = "Bearer"; ///< Scheme of the Authorization field that carries a key.
    std::string readyPath = "/ready"; ///< Where the platform's balancer asks whether to send callers.

    friend bool operator==(const wire_headers &, const wire_headers &) = default;
};

} // namespace bronzechute
