#include "entry/api_error.h"

#include <nlohmann/json.hpp>

namespace bronzechute {

http_reply api_error::toReply(const std::string &requestId) const
{
    nlohmann::ordered_json body;
    body["error"]["code"] = code;
    body["error"]["message"] = message;
    if (!field.empty()) {
        body["error"]["field"] = field;
    }
    body["error"]["outcome"] = toString(outcome);
    body["error"]["request_id"] = requestId;
    http_reply reply;
    reply.status = status;
    reply.headers = {{"Content-Type", "application/json"},
                     {"X-Bronzechute-Outcome", std::string(toString(outcome))},
                     {"X-Request-Id", requestId}};
    if (retryAfter.count() > 0) {
        body["error"]["retry_after_ms"] = retryAfter.count();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        reply.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    reply.body = body.dump() + "\n";
    return reply;
}

} // namespace bronzechute
