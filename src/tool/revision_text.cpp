#include "tool/revision_text.h"

#include <charconv>

namespace bronzechute {

std::optional<std::int64_t> parseRevision(std::string_view text)
{
    std::int64_t revision = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, revision);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || revision < 0) {
        return std::nullopt;
    }
    return revision;
}

std::optional<std::int64_t> parseRevisionComment(std::string_view document)
{
    if (!document.starts_with(revisionCommentPrefix)) {
        return std::nullopt;
    }
    document.remove_prefix(revisionCommentPrefix.size());
    return parseRevision(document.substr(0, document.find_first_of(", \r\n")));
}

} // namespace bronzechute
