#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace bronzechute::standins {

/**
 * ulfius does not tell a handler that its client has left, so a stand-in reads the state of its connections from
 * /proc/net/tcp.
 * @returns address and port of the clients whose connection to a loopback port is still established.
 */
std::set<std::string> connectedPeers(std::uint16_t port);

} // namespace bronzechute::standins
