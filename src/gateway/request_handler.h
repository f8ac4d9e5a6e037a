#pragma once

#include "gateway/caller_response.h"
#include "gateway/gateway_request.h"

#include <memory>

namespace bronzechute {

/** A caller's request in progress. */
class running_exchange
{
public:
    virtual ~running_exchange() = default;

    /** The caller closed its connection, so the request is cancelled. */
    virtual void onCallerDisconnected() = 0;

    /** Buffered bytes were written to the caller, so more may be sent. */
    virtual void onCallerWritable() = 0;

    /** The process ends: the request is given up, and the caller hears what is known of it. */
    virtual void onShutdown() = 0;
};

/** Serves callers' requests. Called from the thread of the event loop. */
class request_handler
{
public:
    virtual ~request_handler() = default;

    /**
     * Called when the header of a request was read, and its body is long or of unknown length.
     * @param head the request, with an empty body
     * @returns whether handle() will refuse the request whatever its body is, so that it need not be read
     */
    virtual bool refuses(const gateway_request &head) = 0;

    /**
     * Starts to serve a request.
     * @returns the exchange, or null if the response has already ended
     */
    virtual std::shared_ptr<running_exchange> handle(gateway_request request,
                                                     std::shared_ptr<caller_response> response) = 0;
};

} // namespace bronzechute
