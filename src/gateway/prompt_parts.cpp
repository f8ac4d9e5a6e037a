#include "gateway/prompt_parts.h"

#include <algorithm>

namespace bronzechute {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

std::vector<std::string> sharedPromptParts(std::string_view field)
{
    std::vector<std::string> parts;
    for (std::size_t comma = field.find(','); comma != std::string_view::npos; comma = field.find(',')) {
        const std::string_view entry = trimmed(field.substr(0, comma));
        field.remove_prefix(comma + 1);
        const std::string_view id = trimmed(entry.substr(0, entry.find(':'))).substr(0, maxPromptPartBytes);
        const bool known = std::ranges::find(parts, id) != parts.end();
        if (!id.empty() && !known && parts.size() < maxPromptParts) {
            parts.emplace_back(id);
        }
    }
    return parts;
}

} // namespace bronzechute
