#include "standins/site_request.h"

#include "standins/site_document.h"

namespace bronzechute::standins {

fetch_request siteRequest(const std::string &url, const std::string &id, std::chrono::milliseconds deadline)
{
    fetch_request request;
    request.url = url;
    request.headers = {{"Host", site_names::host},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", std::to_string(deadline.count())},
                       {"Authorization", std::string("Bearer ") + site_names::key}};
    return request;
}

} // namespace bronzechute::standins
