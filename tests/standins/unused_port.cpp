#include "standins/unused_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute::standins {

std::uint16_t unusedPort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    std::uint16_t port = 0;
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        port = ntohs(address.sin_port);
    }
    close(descriptor);
    return port;
}

} // namespace bronzechute::standins
