#include "base/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace bronzechute {

std::string socket_address::toString() const
{
    return host + ":" + std::to_string(port);
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    constexpr int maxPort = 65535;
    int port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || port < 0 || port > maxPort) {
        return std::nullopt;
    }
    return static_cast<std::uint16_t>(port);
}

std::optional<socket_address> parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    in_addr address {};
    if (!port || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
        return std::nullopt;
    }
    return socket_address {text.substr(0, colon), *port};
}

} // namespace bronzechute
