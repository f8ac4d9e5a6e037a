#pragma once

#include "http/header_list.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** An HTTP request to the engine or plain service. */
struct back_end_request
{
    std::string method;
    std::string path; ///< Path and query, beginning with '/'.
    header_list headers;
    std::string body;
    int priority = 0; ///< 0..9, higher values are served first; sent to engines, not to services.
    std::chrono::milliseconds idleTimeout {10000}; ///< Maximum wait for the next byte.
    std::chrono::milliseconds deadline {60000}; ///< Maximum total time.

    friend bool operator==(const back_end_request &, const back_end_request &) = default;
};

} // namespace bronzechute
