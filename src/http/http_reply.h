#pragma once

#include "http/body_source.h"
#include "http/header_list.h"

#include <memory>
#include <string>

namespace bronzechute {

/** An answer to a caller: a whole body, or a source that streams it. */
struct http_reply
{
    int status = 200;
    header_list headers;
    std::string body;
    std::shared_ptr<body_source> stream; ///< When set, body is ignored and the transfer is chunked.
};

} // namespace bronzechute
