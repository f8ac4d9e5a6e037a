#include "standins/raw_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute {

namespace {

constexpr int backlog = 64;
constexpr std::size_t readBytes = 16384;

/** Reads until the buffer holds a whole header block. @returns its length, or 0 at the end of the connection. */
std::size_t readHead(int descriptor, std::string &buffer)
{
    constexpr std::string_view end = "\r\n\r\n";
    for (;;) {
        const std::size_t found = buffer.find(end);
        if (found != std::string::npos) {
            return found + end.size();
        }
        std::string bytes(readBytes, '\0');
        const auto count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return 0;
        }
        buffer.append(bytes, 0, static_cast<std::size_t>(count));
    }
}

raw_request parseHead(std::string_view head)
{
    raw_request request;
    const std::size_t firstLine = head.find("\r\n");
    const std::string_view line = head.substr(0, firstLine);
    const std::size_t space = line.find(' ');
    request.method = std::string(line.substr(0, space));
    request.target = std::string(line.substr(space + 1, line.rfind(' ') - space - 1));
    std::size_t begin = firstLine + 2;
    while (begin < head.size()) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string_view field = head.substr(begin, end - begin);
        begin = end + 2;
        const std::size_t colon = field.find(": ");
        if (colon == std::string_view::npos) {
            continue;
        }
        std::string name(field.substr(0, colon));
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        request.headers[name] = std::string(field.substr(colon + 2));
    }
    return request;
}

} // namespace

std::string raw_request::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

bool raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void raw_connection::reset() const
{
    const linger immediately {1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
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

raw_server::raw_server(handler answer) : m_answer(std::move(answer))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    ::listen(m_listener, backlog);
    socklen_t length = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

raw_server::~raw_server()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        for (const int descriptor : m_open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string raw_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void raw_server::accept()
{
    for (;;) {
        const int descriptor = ::accept(m_listener, nullptr, nullptr);
        const std::scoped_lock lock(m_mutex);
        if (descriptor < 0 || m_stopping) {
            if (descriptor >= 0) {
                ::close(descriptor);
            }
            return;
        }
        m_open.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void raw_server::serve(int descriptor)
{
    std::string buffer;
    bool keeps = true;
    while (keeps) {
        const std::size_t headLength = readHead(descriptor, buffer);
        if (headLength == 0) {
            break;
        }
        raw_request request = parseHead(std::string_view(buffer).substr(0, headLength));
        buffer.erase(0, headLength);
        const std::string length = request.header("content-length");
        const std::size_t bodyLength = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < bodyLength) {
            std::string bytes(readBytes, '\0');
            const auto count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (count <= 0) {
                break;
            }
            buffer.append(bytes, 0, static_cast<std::size_t>(count));
        }
        request.body = buffer.substr(0, bodyLength);
        buffer.erase(0, bodyLength);
        ++m_requests;
        keeps = m_answer(request, raw_connection(descriptor));
    }
    const std::scoped_lock lock(m_mutex);
    std::erase(m_open, descriptor);
    ::close(descriptor);
}

} // namespace bronzechute
