#include "config/text_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bronzechute {

namespace {

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t hashDigitCount = 64;
constexpr std::string_view alphanumeric = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";

bool consistsOf(std::string_view text, std::string_view punctuation)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [&](char character) {
        return alphanumeric.find(character) != std::string_view::npos
            || punctuation.find(character) != std::string_view::npos;
    });
}

} // namespace

bool isName(std::string_view text)
{
    // "." and ".." are removed when a URL path is normalised.
    return consistsOf(text, "._-") && text != "." && text != "..";
}

bool isLabelText(std::string_view text)
{
    return consistsOf(text, "._-/:");
}

bool isKeyHash(std::string_view text)
{
    return text.size() == hashDigitCount && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isUtf8(const std::string &text)
{
    try {
        (void)nlohmann::json(text).dump();
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (std::size_t index = 0; index < words.size(); ++index) {
        text += index == 0 ? "" : index + 1 == words.size() ? " or " : ", ";
        text += words[index];
    }
    return text;
}

} // namespace bronzechute
