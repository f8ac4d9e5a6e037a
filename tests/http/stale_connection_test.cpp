#include "http/curl_http_client.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bronzechute {
namespace {

/** Responds to the first request on each connection, then reads the second one and closes without a response. */
class closing_server
{
public:
    closing_server() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(listen(m_listener, 8), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~closing_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    std::uint16_t port = 0;
    std::atomic<int> received {0};

private:
    static bool readRequest(int descriptor)
    {
        std::string text;
        char block[512];
        while (text.find("\r\n\r\nbody") == std::string::npos) {
            const ssize_t count = recv(descriptor, block, sizeof block, 0);
            if (count <= 0) {
                return false;
            }
            text.append(block, static_cast<std::size_t>(count));
        }
        return true;
    }

    void serve()
    {
        for (;;) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if (readRequest(descriptor)) {
                ++received;
                send(descriptor, response.data(), response.size(), MSG_NOSIGNAL);
                received += readRequest(descriptor) ? 1 : 0;
            }
            close(descriptor);
        }
    }

    const int m_listener;
    std::thread m_thread;
};

struct stale_row
{
    const char *name; ///< The failure that the row guards against.
    bool mayRepeat;
    bool responseReceived;
    int received;
};

class stale_connection : public testing::TestWithParam<stale_row>
{
};

TEST_P(stale_connection, repeatsOnlyCallsThatMayBeRepeated)
{
    closing_server server;
    curl_http_client client;
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    call.body = "body";
    call.mayRepeat = GetParam().mayRepeat;
    ASSERT_TRUE(client.perform(call));
    const auto second = client.perform(call);
    ASSERT_EQ(static_cast<bool>(second), GetParam().responseReceived);
    if (!second) {
        EXPECT_EQ(second.error().code, errc::outcome_unknown);
    }
    EXPECT_EQ(server.received, GetParam().received);
}

INSTANTIATE_TEST_SUITE_P(rows, stale_connection,
                         testing::Values(stale_row {"write_sent_twice", false, false, 2},
                                         stale_row {"read_failed_by_stale_connection", true, true, 3}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
