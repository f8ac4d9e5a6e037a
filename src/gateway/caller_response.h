#pragma once

#include "gateway/response_head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace bronzechute {

/** Sink for the response to one caller's request. Exactly one of respond(), finish() and abort() ends it. */
class caller_response
{
public:
    virtual ~caller_response() = default;

    /** Sends a complete response. */
    virtual void respond(const response_head &head, std::string_view body) = 0;

    /** Starts a chunked response whose length is not known yet. */
    virtual void begin(const response_head &head) = 0;

    /** Sends a part of the body after begin(). */
    virtual void send(std::string_view bytes) = 0;

    /** Completes a response that was started with begin(). */
    virtual void finish() = 0;

    /** Closes the connection without the final chunk, so that the caller detects a truncated response. */
    virtual void abort() = 0;

    /** @returns the number of bytes that were not written to the socket yet. */
    virtual std::size_t unsentBytes() const = 0;
};

} // namespace bronzechute
