#include "standins/reserved_port.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace bronzechute::standins {

reserved_port::reserved_port()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const int on = 1;
    // The kernel lets two sockets share a port when both set SO_REUSEADDR and none listens, but assigns a port to
    // neither "bind to port 0" nor an outgoing connection while another socket is bound to it.
    if (descriptor < 0 || setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
        || bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        const std::error_code code(errno, std::generic_category());
        if (descriptor >= 0) {
            close(descriptor);
        }
        throw std::system_error(code, "reserved_port");
    }
    m_descriptor = descriptor;
    m_number = ntohs(address.sin_port);
}

reserved_port::~reserved_port()
{
    close(m_descriptor);
}

std::string reserved_port::address() const
{
    return "127.0.0.1:" + std::to_string(m_number);
}

} // namespace bronzechute::standins
