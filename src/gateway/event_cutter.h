#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** A whole event of a text/event-stream as it was sent, with the empty line that ends it. */
struct raw_event
{
    std::string bytes;
    std::optional<std::int64_t> id; ///< Absent when it has none or none that is a number.

    friend bool operator==(const raw_event &, const raw_event &) = default;
};

/** Cuts the bytes of a text/event-stream into whole events, which do not depend on how the bytes arrive. */
class event_cutter
{
public:
    /** @returns the events that these bytes complete. */
    std::vector<raw_event> feed(std::string_view bytes);

    /** @returns whether bytes of an event have arrived whose end is missing. */
    bool hasPartial() const
    {
        return !m_pending.empty();
    }

private:
    std::string m_pending;
    std::size_t m_scanned = 0; ///< Bytes of m_pending in which no end of an event begins.
};

} // namespace bronzechute
