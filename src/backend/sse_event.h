#pragma once

#include <string>

namespace bronzechute {

/** A server-sent event. */
struct sse_event
{
    std::string type; ///< The "event" field; empty means "message".
    std::string data; ///< The "data" fields, joined by line feeds.
    std::string id; ///< The most recent "id" field, of this or an earlier event.

    friend bool operator==(const sse_event &, const sse_event &) = default;
};

} // namespace bronzechute
