#include "gateway/attempt_headers.h"

#include <algorithm>

namespace bronzechute {

header_list attemptHeaders(const gateway_request &request, const exchange_plan &plan, const wire_headers &names,
                           const std::string &endpoint, std::optional<std::int64_t> resumeAfter, time_point now)
{
    header_list headers = request.headers;
    removeHeader(headers, "Authorization");
    removeHeader(headers, "Accept-Encoding");
    removeHeader(headers, "Expect");
    removeHeader(headers, names.account);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline - now).count();
    replaceHeader(headers, names.timeLeft, std::to_string(std::max<std::int64_t>(1, left)));
    replaceHeader(headers, names.targetEndpoint, endpoint);
    if (!plan.account.empty()) {
        headers.emplace_back(names.account, plan.account);
    }
    if (resumeAfter) {
        replaceHeader(headers, "Last-Event-ID", std::to_string(*resumeAfter));
    }
    removeHeader(headers, "Content-Length");
    if (!request.body->empty() || request.method == "POST" || request.method == "PUT") {
        headers.emplace_back("Content-Length", std::to_string(request.body->size()));
    }
    return headers;
}

} // namespace bronzechute
