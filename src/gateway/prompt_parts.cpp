#include "gateway/prompt_parts.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <unordered_set>
#include <xxhash.h>

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

/** @returns the id, or what stands for a long one: its beginning, for readers of logs, and a digest of the whole. */
std::string boundedId(std::string_view id)
{
    if (id.size() <= maxPromptPartBytes) {
        return std::string(id);
    }
    constexpr std::size_t digestBytes = 32;
    const XXH128_hash_t digest = XXH3_128bits(id.data(), id.size());
    std::array<char, digestBytes + 2> text {};
    std::snprintf(text.data(), text.size(), "~%016" PRIx64 "%016" PRIx64, digest.high64, digest.low64);
    return std::string(id.substr(0, maxPromptPartBytes - digestBytes - 1)) + text.data();
}

} // namespace

std::vector<std::string> sharedPromptParts(std::string_view field)
{
    std::vector<std::string> parts;
    std::unordered_set<std::string_view> known;
    for (std::size_t comma = field.find(','); comma != std::string_view::npos; comma = field.find(',')) {
        const std::string_view entry = trimmed(field.substr(0, comma));
        field.remove_prefix(comma + 1);
        const std::string_view id = trimmed(entry.substr(0, entry.find(':')));
        if (!id.empty() && known.insert(id).second) {
            parts.push_back(boundedId(id));
        }
    }
    return parts;
}

std::vector<std::string> loggedParts(std::span<const std::string> parts)
{
    const auto shown = parts.last(std::min(parts.size(), maxLoggedParts));
    return {shown.begin(), shown.end()};
}

} // namespace bronzechute
