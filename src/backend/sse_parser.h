#pragma once

#include "backend/sse_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Incremental parser of text/event-stream (HTML standard, section 9.2). The events do not depend on how the bytes are
 * split. "retry" fields are ignored.
 */
class sse_parser
{
public:
    /** @param limit bytes of one event; a longer one makes the parser fail, so that its memory stays bounded */
    explicit sse_parser(std::size_t limit = std::size_t {1024} * 1024) : m_limit(limit)
    {
    }

    /** @returns the events that these bytes complete; none once failed. */
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
    bool m_afterReturn = false; ///< A line feed now belongs to the line end that a carriage return began.
    bool m_firstLine = true;
    bool m_failed = false;
};

} // namespace bronzechute
