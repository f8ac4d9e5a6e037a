#include "standins/http_fetch.h"

#include "base/scope_guard.h"

namespace bronzechute::standins {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *answer)
{
    static_cast<fetch_answer *>(answer)->body.append(data, size * count);
    return size * count;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *answer)
{
    auto &headers = static_cast<fetch_answer *>(answer)->headers;
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        headers.clear();
    } else if (colon != std::string::npos) {
        const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
        const std::size_t end = line.find_last_not_of(" \t\r\n");
        headers.emplace_back(line.substr(0, colon), begin <= end ? line.substr(begin, end - begin + 1) : "");
    }
    return size * count;
}

std::chrono::microseconds timeOf(CURL *curl, CURLINFO info)
{
    curl_off_t microseconds = 0;
    curl_easy_getinfo(curl, info, &microseconds);
    return std::chrono::microseconds(microseconds);
}

} // namespace

fetch_answer fetch(const fetch_request &request)
{
    fetch_answer answer;
    CURL *curl = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    const scope_guard cleanUp([&] {
        curl_slist_free_all(headers);
        curl_easy_cleanup(curl);
    });
    for (const auto &[name, value] : request.headers) {
        std::string line = name;
        line.append(": ").append(value);
        headers = curl_slist_append(headers, line.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_SSL_VERIFYPEER, 0L); // Tests sign their own certificates.
    curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, appendHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
    if (request.method == "POST" || !request.body.empty()) {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    answer.code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.status);
    answer.firstByte = timeOf(curl, CURLINFO_STARTTRANSFER_TIME_T);
    answer.total = timeOf(curl, CURLINFO_TOTAL_TIME_T);
    return answer;
}

fetch_answer fetch(const std::string &url)
{
    fetch_request request;
    request.url = url;
    return fetch(request);
}

fetch_answer postJson(const std::string &url, const std::string &json, const header_list &headers)
{
    fetch_request request;
    request.url = url;
    request.method = "POST";
    request.headers = headers;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = json;
    return fetch(request);
}

} // namespace bronzechute::standins
