#include "gateway/event_stream_parser.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

namespace {

/** @returns the position after the empty line that ends the first event, or npos if there is none. */
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1)) {
        std::size_t next = line + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

std::optional<std::int64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(field)) {
            continue;
        }
        text.remove_prefix(field.size());
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        std::int64_t id = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
        if (parsed.ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

bool raw_event::isComment() const
{
    bool atLineStart = true;
    for (const char character : bytes) {
        const bool isLineEnd = character == '\n' || character == '\r';
        if (atLineStart && !isLineEnd && character != ':') {
            return false;
        }
        atLineStart = isLineEnd;
    }
    return true;
}

std::vector<raw_event> event_stream_parser::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    std::vector<raw_event> events;
    std::size_t begin = 0;
    std::size_t from = m_scanned;
    for (std::size_t end = endOfEvent(m_pending, from); end != std::string::npos; end = endOfEvent(m_pending, from)) {
        const std::string_view event = std::string_view(m_pending).substr(begin, end - begin);
        events.push_back({std::string(event), idOf(event)});
        begin = end;
        from = end;
    }
    m_pending.erase(0, begin);
    // A line end in the last two bytes may be the start of an incomplete event terminator.
    constexpr std::size_t maxPartialTerminatorBytes = 2;
    m_scanned = m_pending.size() > maxPartialTerminatorBytes ? m_pending.size() - maxPartialTerminatorBytes : 0;
    return events;
}

} // namespace bronzechute
