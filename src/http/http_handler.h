#pragma once

#include "http/http_reply.h"
#include "http/http_request.h"

namespace bronzechute {

/** Handles the requests received by an http_server. */
class http_handler
{
public:
    virtual ~http_handler() = default;

    /** Called on the connection's own thread, which may block; calls for different connections run concurrently. */
    virtual http_reply handle(const http_request &request) = 0;
};

} // namespace bronzechute
