#include "standins/connected_peers.h"

#include <arpa/inet.h>
#include <cstdio>
#include <fstream>
#include <netinet/in.h>

namespace bronzechute::standins {

std::set<std::string> connectedPeers(std::uint16_t port)
{
    constexpr unsigned established = 1;
    std::set<std::string> peers;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // Column names.
    while (std::getline(table, line)) {
        unsigned localAddress = 0;
        unsigned localPort = 0;
        unsigned remoteAddress = 0;
        unsigned remotePort = 0;
        unsigned state = 0;
        // NOLINTNEXTLINE(bugprone-unchecked-string-to-number-conversion): the kernel writes the numbers.
        const int fields = std::sscanf(line.c_str(), " %*u: %8X:%4X %8X:%4X %2X", &localAddress, &localPort,
                                       &remoteAddress, &remotePort, &state);
        constexpr int fieldsOfLine = 5;
        if (fields != fieldsOfLine || localPort != port || state != established) {
            continue;
        }
        const in_addr address {remoteAddress};
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &address, text, sizeof text);
        peers.insert(std::string(text) + ":" + std::to_string(remotePort));
    }
    return peers;
}

} // namespace bronzechute::standins
