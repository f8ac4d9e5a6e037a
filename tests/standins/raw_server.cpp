#include "standins/raw_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute::standins {

namespace {

std::size_t contentLength(std::string_view head)
{
    constexpr std::string_view field = "content-length:";
    const auto equal = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == b;
    };
    const auto *found = std::search(head.begin(), head.end(), field.begin(), field.end(), equal);
    return found == head.end() ? 0 : std::strtoul(found + field.size(), nullptr, 10);
}

} // namespace

std::string raw_connection::readRequest()
{
    char block[4096];
    while (true) {
        const std::size_t headEnd = m_buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const std::size_t whole = headEnd + 4 + contentLength(std::string_view(m_buffer).substr(0, headEnd + 4));
            if (m_buffer.size() >= whole) {
                std::string request = m_buffer.substr(0, whole);
                m_buffer.erase(0, whole);
                return request;
            }
        }
        const ssize_t count = recv(m_descriptor, block, sizeof block, 0);
        if (count <= 0) {
            return {};
        }
        m_buffer.append(block, static_cast<std::size_t>(count));
    }
}

bool raw_connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void raw_connection::waitForClose()
{
    char block[4096];
    while (recv(m_descriptor, block, sizeof block, 0) > 0) { }
}

raw_server::raw_server(connection_function function) : m_function(std::move(function))
{
    m_listenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
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
