#include "caller_crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds quietTime {700}; // Without a byte from any caller: nobody gets on.
constexpr std::chrono::seconds longestPress {40};
constexpr int pollMs = 20;
constexpr std::size_t datagramBytes = 32UL * 1024;

} // namespace

caller_crowd::caller_crowd(const socket_address &address, const crowd_behaviour &behaviour, int transport)
    : m_address(address), m_behaviour(behaviour), m_transport(transport), m_callers(behaviour.callers)
{
    for (caller &each : m_callers) {
        connect(each);
    }
}

caller_crowd::~caller_crowd()
{
    for (const caller &each : m_callers) {
        if (each.descriptor >= 0) {
            ::close(each.descriptor);
        }
    }
}

void caller_crowd::connect(caller &each) const
{
    if (each.descriptor >= 0) {
        ::close(each.descriptor);
        each.descriptor = -1;
    }
    if (each.connections >= m_behaviour.connections) {
        return;
    }
    ++each.connections;
    each.sent = 0;
    each.descriptor = ::socket(AF_INET, m_transport | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(m_address.port);
    inet_pton(AF_INET, m_address.host.c_str(), &peer.sin_addr);
    // Completes, or fails, while press() polls.
    static_cast<void>(::connect(each.descriptor, reinterpret_cast<sockaddr *>(&peer), sizeof peer));
}

std::size_t caller_crowd::totalBytes() const
{
    return m_behaviour.head.size() + m_behaviour.part.size() * m_behaviour.parts;
}

bool caller_crowd::send(caller &each) const
{
    const std::size_t begin = m_behaviour.head.size();
    std::string_view bytes = m_behaviour.head;
    if (each.sent < begin) {
        bytes.remove_prefix(each.sent);
    } else {
        bytes = m_behaviour.part;
        bytes.remove_prefix((each.sent - begin) % bytes.size());
    }
    if (m_transport == SOCK_DGRAM) {
        bytes = bytes.substr(0, datagramBytes);
    }
    const ssize_t count = ::send(each.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    each.sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    return count > 0;
}

void caller_crowd::press(const std::function<void()> &watch)
{
    const auto begin = std::chrono::steady_clock::now();
    auto lastProgress = begin;
    auto now = begin;
    while (now - lastProgress < quietTime && now - begin < longestPress) {
        std::vector<pollfd> polled;
        std::vector<caller *> pending;
        for (caller &each : m_callers) {
            if (each.descriptor >= 0) {
                const bool finished = each.sent >= totalBytes();
                // One that has sent everything waits for the gateway to close it.
                polled.push_back({each.descriptor, static_cast<short>(finished ? 0 : POLLOUT), 0});
                pending.push_back(&each);
            }
        }
        ::poll(polled.data(), polled.size(), pollMs);
        now = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < polled.size(); ++index) {
            caller &each = *pending[index];
            if ((polled[index].revents & (POLLERR | POLLHUP)) != 0) {
                connect(each);
                lastProgress = now;
            } else if ((polled[index].revents & POLLOUT) != 0 && send(each)) {
                lastProgress = now;
            }
        }
        watch();
    }
}

} // namespace bronzechute
