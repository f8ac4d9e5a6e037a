#pragma once

#include "http/header_list.h"

#include <chrono>
#include <curl/curl.h>
#include <string>

namespace bronzechute::standins {

/** What a test's request led to. */
struct fetch_answer
{
    CURLcode code = CURLE_OK; ///< CURLE_PARTIAL_FILE or CURLE_RECV_ERROR for a cut answer.
    long status = 0; ///< 0 when no head arrived.
    header_list headers;
    std::string body;
    std::chrono::microseconds firstByte {0}; ///< From the start to the first byte of the answer.
    std::chrono::microseconds total {0};
};

} // namespace bronzechute::standins
