#include "base/percent_encoding.h"

#include <charconv>

namespace bronzechute {

namespace {

constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr std::size_t escapeDigits = 2;
constexpr int hexadecimal = 16;

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char each : text) {
        if (unreserved.find(each) != std::string_view::npos) {
            encoded += each;
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        encoded += '%';
        encoded += hexDigits[byte / hexadecimal];
        encoded += hexDigits[byte % hexadecimal];
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        unsigned value = 0;
        const std::string_view digits = text.substr(1, escapeDigits);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + escapeDigits) {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        text.remove_prefix(escapeDigits + 1);
    }
    return decoded;
}

} // namespace bronzechute
