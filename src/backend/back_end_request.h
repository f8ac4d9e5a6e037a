#pragma once

#include "http/header_list.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** One HTTP request for the local engine or plain service. */
struct back_end_request
{
    std::string method;
    std::string path; ///< Path and query, beginning with '/'.
    header_list headers;
    std::string body;
    int priority = 0; ///< 0..9, higher first; passed to engines that honour it.
    std::chrono::milliseconds idleTimeout {10000}; ///< Longest wait for the next byte.
    std::chrono::milliseconds deadline {60000}; ///< Longest time in all.

    friend bool operator==(const back_end_request &, const back_end_request &) = default;
};

} // namespace bronzechute
