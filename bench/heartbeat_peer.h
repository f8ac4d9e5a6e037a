#pragma once

#include "capacity_sample.h"
#include "usage_meter.h"
#include "wire/frame_codec.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::bench {

/**
 * The far end of many connections: one thread that accepts, says hello as a different endpoint on each, and sends a
 * heartbeat with a status every 500 ms. Its processor time is read apart, so that it can be subtracted.
 */
class heartbeat_peer
{
public:
    heartbeat_peer()
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        const auto generic = reinterpret_cast<sockaddr *>(&address);
        if (bind(m_listener, generic, size) != 0 || listen(m_listener, 256) != 0) {
            std::abort();
        }
        getsockname(m_listener, generic, &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~heartbeat_peer()
    {
        m_stopping = true;
        m_thread.join();
        for (const pollfd &each : m_descriptors) {
            ::close(each.fd);
        }
    }

    heartbeat_peer(const heartbeat_peer &) = delete;
    heartbeat_peer &operator=(const heartbeat_peer &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    double processorSeconds() const
    {
        return m_processorSeconds;
    }

    double received() const
    {
        return static_cast<double>(m_received);
    }

    double sent() const
    {
        return static_cast<double>(m_sent);
    }

private:
    void run()
    {
        m_descriptors.push_back({m_listener, POLLIN, 0});
        auto nextBeat = std::chrono::steady_clock::now();
        std::vector<char> buffer(65536);
        while (!m_stopping) {
            poll(m_descriptors.data(), m_descriptors.size(), 20);
            for (std::size_t index = m_descriptors.size(); index-- > 1;) {
                if (m_descriptors[index].revents != 0) {
                    const ssize_t count = recv(m_descriptors[index].fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
                    m_received += count > 0 ? count : 0;
                }
            }
            if (m_descriptors[0].revents != 0) {
                m_descriptors.push_back({accept(m_listener, nullptr, nullptr), POLLIN, 0});
                hello_frame hello;
                const int number = static_cast<int>(m_descriptors.size());
                hello.node = capacity_sample::endpointName(number);
                hello.incarnation = static_cast<std::uint64_t>(number);
                hello.role = "endpoint";
                hello.dataCentre = "dc-1";
                sendFrame(m_descriptors.back().fd, hello);
            }
            if (std::chrono::steady_clock::now() >= nextBeat) {
                nextBeat += std::chrono::milliseconds(500);
                ++m_sequence;
                for (std::size_t index = 1; index < m_descriptors.size(); ++index) {
                    heartbeat_frame beat;
                    beat.sequence = m_sequence;
                    beat.clockMs = 1'000'000;
                    beat.status = capacity_sample::status(static_cast<int>(index));
                    sendFrame(m_descriptors[index].fd, beat);
                }
            }
            m_processorSeconds = usage_meter::seconds(CLOCK_THREAD_CPUTIME_ID);
        }
    }

    void sendFrame(int descriptor, const frame &message)
    {
        std::string bytes;
        encodeFrame(message, bytes);
        m_sent += ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::vector<pollfd> m_descriptors;
    std::uint64_t m_sequence = 0;
    std::atomic<std::int64_t> m_received {0};
    std::atomic<std::int64_t> m_sent {0};
    std::atomic<double> m_processorSeconds {0};
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

} // namespace bronzechute::bench
