#pragma once

#include "http/body_source.h"
#include "http/header_list.h"

#include <memory>
#include <string>

namespace bronzechute {

/** The response of an http_handler, with a complete or a streamed body. */
struct http_reply
{
    int status = 200;
    header_list headers;
    std::string body;
    std::shared_ptr<body_source> stream; ///< If set, body is ignored and a chunked transfer is used.
};

} // namespace bronzechute
