#include "backend/sse_parser.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::vector<sse_event> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    while (!bytes.empty() && !m_failed) {
        if (m_afterCarriageReturn && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            m_afterCarriageReturn = false;
            continue;
        }
        m_afterCarriageReturn = false;
        const std::size_t end = std::min(bytes.find_first_of("\r\n"), bytes.size());
        if (m_line.size() + m_event.data.size() + end > m_limit) {
            m_failed = true;
            break;
        }
        m_line.append(bytes.substr(0, end));
        if (end < bytes.size()) {
            m_afterCarriageReturn = bytes[end] == '\r';
            endLine(events);
            bytes.remove_prefix(1);
        }
        bytes.remove_prefix(end);
    }
    return events;
}

void sse_parser::endLine(std::vector<sse_event> &events)
{
    std::string_view line = m_line;
    if (m_firstLine && line.starts_with(byteOrderMark)) {
        line.remove_prefix(byteOrderMark.size());
    }
    m_firstLine = false;
    if (line.empty()) {
        if (m_hasData) {
            m_event.data.pop_back(); // Remove the line feed after the last data line.
            events.push_back(m_event);
        }
        m_event.type.clear();
        m_event.data.clear();
        m_hasData = false;
    } else if (line.front() != ':') {
        const std::size_t colon = std::min(line.find(':'), line.size());
        std::string_view value = line.substr(std::min(colon + 1, line.size()));
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        addField(line.substr(0, colon), value);
    }
    m_line.clear();
}

void sse_parser::addField(std::string_view name, std::string_view value)
{
    if (name == "data") {
        m_event.data.append(value).push_back('\n');
        m_hasData = true;
    } else if (name == "event") {
        m_event.type = value;
    } else if (name == "id" && value.find('\0') == std::string_view::npos) {
        m_event.id = value;
    }
}

} // namespace bronzechute
