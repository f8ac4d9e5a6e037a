#include "entry/read_session.h"

#include <charconv>

namespace bronzechute {

namespace {

constexpr std::string_view separator = ";v=";

} // namespace

std::optional<read_session> read_session::parse(std::string_view header)
{
    const std::size_t position = header.rfind(separator);
    if (position == std::string_view::npos || position == 0) {
        return std::nullopt;
    }
    read_session session;
    session.endpoint = header.substr(0, position);
    const std::string_view digits = header.substr(position + separator.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), session.version);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || session.version < 0) {
        return std::nullopt;
    }
    return session;
}

std::string read_session::toHeader() const
{
    return endpoint + std::string(separator) + std::to_string(version);
}

} // namespace bronzechute
