#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** An IPv4 address and port to listen on or to connect to. */
struct socket_address
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 makes the kernel choose a port when listening.

    friend bool operator==(const socket_address &, const socket_address &) = default;

    /** @returns "host:port". */
    std::string toString() const;
};

/** @returns the port, or std::nullopt unless the text is an integer from 0 to 65535. */
std::optional<std::uint16_t> parsePort(std::string_view text);

/** @returns the address, or std::nullopt unless the text has the form IPV4:PORT. */
std::optional<socket_address> parseSocketAddress(const std::string &text);

} // namespace bronzechute
