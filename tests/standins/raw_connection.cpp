#include "standins/raw_connection.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

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

std::string raw_connection::readHead()
{
    char byte = 0;
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (recv(m_descriptor, &byte, 1, 0) <= 0) {
            return {};
        }
        m_buffer.push_back(byte);
    }
    return std::exchange(m_buffer, {});
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

void raw_connection::resetOnClose() const
{
    const linger immediately {1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

void raw_connection::endSending() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

bool raw_connection::closesWithin(std::chrono::milliseconds time) const
{
    pollfd wait {m_descriptor, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(time.count())) <= 0) {
        return false;
    }
    char byte = 0;
    return ::recv(m_descriptor, &byte, 1, MSG_PEEK) <= 0;
}

void raw_connection::waitForClose()
{
    char block[4096];
    while (recv(m_descriptor, block, sizeof block, 0) > 0) { }
}

} // namespace bronzechute::standins
