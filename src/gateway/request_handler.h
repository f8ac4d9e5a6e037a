#pragma once

#include "gateway/caller_response.h"
#include "gateway/gateway_request.h"

#include <memory>

namespace bronzechute {

/** A caller's request under way. */
class running_exchange
{
public:
    virtual ~running_exchange() = default;

    /** The caller has closed its connection: the work is cancelled. */
    virtual void onCallerGone() = 0;

    /** The caller has taken bytes; more may be sent. */
    virtual void onCallerReady() = 0;
};

/** Serves callers' requests. Called from the thread of the event loop. */
class request_handler
{
public:
    virtual ~request_handler() = default;

    /**
     * Begins to serve a request.
     * @param response valid until it has ended or onCallerGone() was called
     * @returns null when the response has already ended
     */
    virtual std::shared_ptr<running_exchange> handle(gateway_request request, caller_response &response) = 0;
};

} // namespace bronzechute
