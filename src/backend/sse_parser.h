#pragma once

#include "backend/sse_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Incremental parser for text/event-stream (HTML standard, section 9.2). The result does not depend on how the bytes
 * are split between calls. "retry" fields are ignored.
 */
class sse_parser
{
public:
    /** @param limit maximum bytes of one event; a longer event makes the parser fail, which bounds its memory */
    explicit sse_parser(std::size_t limit = std::size_t {1024} * 1024) : m_limit(limit)
    {
    }

    /** @returns the events that these bytes complete; none after a failure. */
    std::vector<sse_event> feed(std::string_view bytes);

    bool failed() const
    {
        return m_failed;
    }

private:
    void endLine(std::vector<sse_event> &events);
    void addField(std::string_view name, std::string_view value);

    const std::size_t m_limit;
    std::string m_line;
    sse_event m_event;
    bool m_hasData = false;
    bool m_afterCarriageReturn =
        false; ///< The last byte was a carriage return, so a line feed that follows is skipped.
    bool m_firstLine = true;
    bool m_failed = false;
};

} // namespace bronzechute
