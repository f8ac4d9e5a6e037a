#include "gateway/response_verdict.h"

#include "http/http_status.h"

namespace bronzechute {

namespace {

constexpr int firstRedirection = 300;

} // namespace

bool isResponseTo(const response_head &head, const std::string &requestId, bool reused, const wire_headers &names)
{
    if (const auto id = findHeader(head.headers, names.requestId)) {
        return *id == requestId;
    }
    // On a connection that served other requests, it may be a second copy of an earlier response.
    return requestId.empty() || !reused;
}

bool isRefusal(const response_head &head, const wire_headers &names)
{
    return head.status == statusMisdirected || findHeader(head.headers, names.notRun);
}

bool isSuccess(const response_head &head)
{
    return head.status >= statusOk && head.status < firstRedirection;
}

bool isAcceptableSuccess(const response_head &head, const wire_headers &names)
{
    return isSuccess(head) && findHeader(head.headers, names.signature)
        && !findHeader(head.headers, "Content-Encoding");
}

} // namespace bronzechute
