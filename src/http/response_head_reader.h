#pragma once

#include "http/header_list.h"

#include <string>
#include <string_view>

namespace bronzechute {

/**
 * Reads the head of a response from the lines that libcurl hands over, and refuses what is no head of HTTP: libcurl
 * takes nearly any line for a field, and reads the body as if the line were not there.
 */
class response_head_reader
{
public:
    /**
     * Adds the next line, with its line end. Lines after the empty line of the final head, those of trailers, are
     * ignored.
     * @returns whether the response may still be one; if not, fault() says why
     */
    bool addLine(std::string_view line);

    /** @returns whether the empty line that ends the final head was read. */
    bool complete() const
    {
        return m_complete;
    }

    /** @returns the status code of the latest head. */
    int status() const
    {
        return m_status;
    }

    /** @returns the fields of the latest head, without blanks around their values. */
    const header_list &fields() const
    {
        return m_fields;
    }

    /** @returns why a line was refused; empty if none was. */
    const std::string &fault() const
    {
        return m_fault;
    }

private:
    bool beginHead(std::string_view line);
    bool addField(std::string_view line);
    bool endHead();
    bool refuse(const char *fault);

    int m_status = 0;
    header_list m_fields;
    std::string m_fault;
    bool m_inHead = false;
    bool m_complete = false;
};

} // namespace bronzechute
