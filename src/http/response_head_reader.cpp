#include "http/response_head_reader.h"

#include "http/message_rules.h"

namespace bronzechute {

namespace {

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
    }
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool response_head_reader::addLine(std::string_view line)
{
    if (!m_fault.empty() || m_complete) {
        return m_fault.empty();
    }
    line = withoutLineEnd(line);
    if (!m_inHead) {
        return beginHead(line);
    }
    return line.empty() ? endHead() : addField(line);
}

bool response_head_reader::beginHead(std::string_view line)
{
    const auto status = parseStatusLine(line);
    if (!status) {
        return refuse("malformed status line");
    }
    if (statusClassOf(*status) == status_class::invalid) {
        return refuse("invalid status");
    }
    m_status = *status;
    m_fields.clear();
    m_inHead = true;
    return true;
}

bool response_head_reader::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return refuse("malformed name of a field");
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        return refuse("malformed value of a field");
    }
    m_fields.emplace_back(line.substr(0, colon), value);
    return true;
}

bool response_head_reader::endHead()
{
    m_inHead = false;
    if (statusClassOf(m_status) == status_class::interim) {
        return true;
    }
    if (const char *fault = framingFaultOf(m_fields)) {
        return refuse(fault);
    }
    m_complete = true;
    return true;
}

bool response_head_reader::refuse(const char *fault)
{
    m_fault = fault;
    return false;
}

} // namespace bronzechute
