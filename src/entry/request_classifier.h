#pragma once

#include "config/configuration_envelope.h"
#include "entry/api_error.h"
#include "entry/caller_request.h"
#include "http/http_request.h"

#include <string>
#include <variant>

namespace bronzechute {

/**
 * Authenticates, validates and classifies requests by the configuration. A request that fails here is never sent to an
 * endpoint.
 */
class request_classifier
{
public:
    std::variant<caller_request, api_error> classify(const http_request &request, const configuration &content) const;

    /** @returns the account of the request's API key, or the error to answer with. */
    std::variant<const client_account *, api_error> authenticate(const http_request &request,
                                                                 const configuration &content) const;

private:
    std::variant<caller_request, api_error>
    classifyCompletion(const http_request &request, const configuration &content, const client_account &account) const;
    std::variant<caller_request, api_error> classifyService(const http_request &request, const plain_service &service,
                                                            const client_account &account) const;
};

} // namespace bronzechute
