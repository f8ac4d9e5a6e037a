#include "base/request_id.h"

#include <charconv>
#include <cstdio>

namespace bronzechute {

request_id request_id::generate(std::mt19937_64 &random)
{
    return {random(), random()};
}

std::optional<request_id> request_id::parse(std::string_view text)
{
    constexpr std::size_t digitsPerHalf = 16;
    if (text.size() != 2 * digitsPerHalf) {
        return std::nullopt;
    }
    request_id id;
    const char *highEnd = text.data() + digitsPerHalf;
    const char *end = highEnd + digitsPerHalf;
    const auto high = std::from_chars(text.data(), highEnd, id.high, 16);
    const auto low = std::from_chars(highEnd, end, id.low, 16);
    if (high.ec != std::errc() || high.ptr != highEnd || low.ec != std::errc() || low.ptr != end) {
        return std::nullopt;
    }
    return id;
}

std::string request_id::toString() const
{
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text;
}

} // namespace bronzechute
