#pragma once

#include "http/header_list.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** One HTTP exchange for a transfer_loop. */
struct transfer_request
{
    std::string method;
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds idleTimeout {10000}; ///< Longest wait for the next byte.
    std::chrono::milliseconds deadline {60000}; ///< Longest time in all.
    bool mayRepeat = false; ///< libcurl may send it again when a reused connection turns out to be closed.

    friend bool operator==(const transfer_request &, const transfer_request &) = default;
};

} // namespace bronzechute
