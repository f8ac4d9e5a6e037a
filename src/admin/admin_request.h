#pragma once

#include "admin/admin_caller.h"
#include "admin/query_parameters.h"
#include "http/http_request.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bronzechute {

/** An authenticated request to the administration API. */
struct admin_request
{
    const http_request &http;
    query_parameters query;
    std::string name; ///< Name after the resource in the path, for example of an endpoint; may be empty.
    admin_caller caller;

    /** @returns the body as a JSON object, or a discarded value if it is not one. */
    nlohmann::json jsonBody() const
    {
        nlohmann::json body = nlohmann::json::parse(http.body, nullptr, false);
        return body.is_object() ? body : nlohmann::json(nlohmann::json::value_t::discarded);
    }
};

} // namespace bronzechute
