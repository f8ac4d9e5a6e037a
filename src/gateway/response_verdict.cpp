#include "gateway/response_verdict.h"

#include "http/http_status.h"

namespace bronzechute {

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

bool readsAsNotRun(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
        || status == statusServiceUnavailable;
}

bool isAcceptableSuccess(const response_head &head, const wire_headers &names)
{
    return isSuccessStatus(head.status) && findHeader(head.headers, names.signature)
        && !findHeader(head.headers, "Content-Encoding");
}

} // namespace bronzechute
