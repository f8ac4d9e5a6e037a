#include "standins/raw_server.h"

#include <arpa/inet.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute::standins {

raw_server::raw_server(connection_function function, std::uint16_t port) : m_function(std::move(function))
{
    m_listenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int enabled = 1;
    setsockopt(m_listenSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    socklen_t length = sizeof address;
    constexpr int backlog = 64;
    if (bind(m_listenSocket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && listen(m_listenSocket, backlog) == 0
        && getsockname(m_listenSocket, reinterpret_cast<sockaddr *>(&address), &length) == 0) {
        m_port = ntohs(address.sin_port);
    }
    m_acceptor = std::thread([this] { accept(); });
}

raw_server::~raw_server()
{
    shutdown(m_listenSocket, SHUT_RDWR);
    m_acceptor.join();
    close(m_listenSocket);
    {
        const std::scoped_lock lock(m_mutex);
        for (const int descriptor : m_open) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string raw_server::url() const
{
    return "http://127.0.0.1:" + std::to_string(m_port);
}

void raw_server::accept()
{
    for (int index = 0;; ++index) {
        const int descriptor = accept4(m_listenSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const std::scoped_lock lock(m_mutex);
        m_open.push_back(descriptor);
        m_threads.emplace_back([this, descriptor, index] {
            raw_connection connection(descriptor);
            m_function(connection, index);
            const std::scoped_lock closing(m_mutex);
            std::erase(m_open, descriptor);
            close(descriptor);
        });
    }
}

} // namespace bronzechute::standins
