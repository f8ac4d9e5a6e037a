#include "http/curl_handle.h"

namespace bronzechute {

curl_list_ptr toCurlList(const header_list &headers)
{
    // Without an empty Expect header, libcurl waits up to one second for 100 Continue before it sends a large body.
    curl_list_ptr list(curl_slist_append(nullptr, "Expect:"));
    for (const auto &[name, value] : headers) {
        std::string line = name;
        line.append(": ").append(value);
        curl_slist_append(list.get(), line.c_str());
    }
    return list;
}

void initializeCurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

} // namespace bronzechute
