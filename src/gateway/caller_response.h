#pragma once

#include "gateway/answer_head.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace bronzechute {

/** Where the answer to one caller's request goes. Exactly one of respond(), finish() and abort() ends it. */
class caller_response
{
public:
    virtual ~caller_response() = default;

    /** Sends a whole answer. */
    virtual void respond(const answer_head &head, std::string_view body) = 0;

    /** Begins an answer whose length is not known yet. */
    virtual void begin(const answer_head &head) = 0;

    /** Sends a part of the body of an answer that was begun. */
    virtual void send(std::string_view bytes) = 0;

    /** Ends an answer that was begun as complete. */
    virtual void finish() = 0;

    /** Closes the connection, so that the answer is visibly not complete. */
    virtual void abort() = 0;

    /** @returns bytes that the caller has not taken yet. */
    virtual std::size_t unsentBytes() const = 0;
};

} // namespace bronzechute
