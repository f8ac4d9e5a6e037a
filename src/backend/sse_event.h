#pragma once

#include <string>

namespace bronzechute {

/** One server-sent event. */
struct sse_event
{
    std::string type; ///< The "event" field; empty stands for "message".
    std::string data; ///< The "data" fields, joined by line feeds.
    std::string id; ///< The last "id" field up to this event.

    friend bool operator==(const sse_event &, const sse_event &) = default;
};

} // namespace bronzechute
