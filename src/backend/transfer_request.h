#pragma once

#include "http/header_list.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** Parameters of an HTTP exchange on a transfer_loop. */
struct transfer_request
{
    std::string method;
    std::string url;
    header_list headers;
    std::string body;
    std::chrono::milliseconds idleTimeout {10000}; ///< Maximum wait for the next byte.
    std::chrono::milliseconds deadline {60000}; ///< Maximum total time.
    bool mayRepeat = false; ///< Whether libcurl may send it again when a reused connection was closed.

    friend bool operator==(const transfer_request &, const transfer_request &) = default;
};

} // namespace bronzechute
