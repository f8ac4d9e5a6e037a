#pragma once

#include "http/header_list.h"

#include <chrono>
#include <string>

namespace bronzechute::standins {

/** One request of a test. */
struct fetch_request
{
    std::string url;
    std::string method = "GET";
    header_list headers;
    std::string body;
    std::chrono::milliseconds timeout {20000};
};

} // namespace bronzechute::standins
