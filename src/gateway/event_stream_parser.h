#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** A complete event of a text/event-stream, byte for byte, with the empty line that ends it. */
struct raw_event
{
    std::string bytes;
    std::optional<std::int64_t> id; ///< Absent if the event has no numeric id.

    /** @returns whether it holds no fields, but only comments, which servers send to keep a connection open. */
    bool isComment() const;

    friend bool operator==(const raw_event &, const raw_event &) = default;
};

/** Incremental parser that splits the bytes of a text/event-stream into complete events. */
class event_stream_parser
{
public:
    /** Appends received bytes. @returns the events that they complete */
    std::vector<raw_event> feed(std::string_view bytes);

    /** @returns the length of the incomplete event that is buffered. */
    std::size_t pendingBytes() const
    {
        return m_pending.size();
    }

    /** @returns whether an incomplete event is buffered. */
    bool hasPartial() const
    {
        return !m_pending.empty();
    }

private:
    std::string m_pending;
    std::size_t m_scanned = 0; ///< Length of the prefix of m_pending that holds no start of an event terminator.
};

} // namespace bronzechute
