#include "link/link_hub.h"
#include "link/send_batch.h"

#include "standins/reserved_port.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;

/** Records the events on the connections of one hub. */
class recording_handler : public link_handler
{
public:
    void onUp(const link_ptr &connection) override
    {
        const std::scoped_lock lock(m_mutex);
        m_up.push_back(connection);
        m_changed.notify_all();
    }

    void onFrame(const link_ptr &, frame message) override
    {
        const std::scoped_lock lock(m_mutex);
        if (const auto *data = std::get_if<data_frame>(&message)) {
            m_data.push_back(*data);
        }
        m_changed.notify_all();
    }

    void onDown(const link_ptr &, const std::string &reason) override
    {
        const std::scoped_lock lock(m_mutex);
        m_reasons.push_back(reason);
        m_changed.notify_all();
    }

    heartbeat_frame makeHeartbeat() override
    {
        return {};
    }

    template<typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 30s, [&] { return condition(*this); });
    }

    std::vector<link_ptr> m_up;
    std::vector<data_frame> m_data;
    std::vector<std::string> m_reasons;

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

link_options linkOptionsFor(const std::string &node)
{
    link_options options;
    options.self.node = node;
    return options;
}

result<std::unique_ptr<link_hub>> openHub(const link_options &options, const socket_address &address,
                                          link_handler &handler)
{
    auto hub = link_hub::create(options, address, handler);
    if (hub) {
        hub.value()->open();
    }
    return hub;
}

TEST(link_hub, deliversFramesInOrderWithoutLoss)
{
    recording_handler serverHandler;
    recording_handler clientHandler;
    auto server = openHub(linkOptionsFor("server"), {}, serverHandler);
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    ASSERT_TRUE(server) << server.error().toString();
    ASSERT_TRUE(client);
    client.value()->dial("server", "127.0.0.1:" + std::to_string(server.value()->port()));
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return !seen.m_up.empty(); }));
    EXPECT_EQ(clientHandler.m_up[0]->peer().node, "server");

    constexpr std::uint64_t frames = 20000;
    for (std::uint64_t sequence = 0; sequence < frames; ++sequence) {
        ASSERT_TRUE(clientHandler.m_up[0]->send(data_frame {{}, sequence, std::string(sequence % 300, 'x')}));
    }
    ASSERT_TRUE(serverHandler.waitFor([](auto &seen) { return seen.m_data.size() == frames; }));
    for (std::uint64_t sequence = 0; sequence < frames; ++sequence) {
        ASSERT_EQ(serverHandler.m_data[sequence].sequence, sequence);
    }
}

// Guards against lost or reordered frames when some are deferred to a later write or to the end of a batch.
TEST(link_hub, keepsTheOrderOfFramesThatWaitForAWrite)
{
    recording_handler serverHandler;
    recording_handler clientHandler;
    auto server = openHub(linkOptionsFor("server"), {}, serverHandler);
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    ASSERT_TRUE(server) << server.error().toString();
    ASSERT_TRUE(client);
    client.value()->dial("server", "127.0.0.1:" + std::to_string(server.value()->port()));
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return !seen.m_up.empty(); }));
    const link_ptr connection = clientHandler.m_up[0];
    constexpr std::uint64_t frames = 200;
    ASSERT_TRUE(connection->sendDeferred(data_frame {{}, 0, "a"}));
    ASSERT_TRUE(connection->send(data_frame {{}, 1, "b"}));
    {
        const send_batch batch;
        // More bytes than a batch defers.
        for (std::uint64_t sequence = 2; sequence < frames - 1; ++sequence) {
            ASSERT_TRUE(connection->send(data_frame {{}, sequence, std::string(1000, 'c')}));
        }
    }
    ASSERT_TRUE(connection->sendDeferred(data_frame {{}, frames - 1, "d"}));
    ASSERT_TRUE(serverHandler.waitFor([](auto &seen) { return seen.m_data.size() == frames; }));
    for (std::uint64_t sequence = 0; sequence < serverHandler.m_data.size(); ++sequence) {
        EXPECT_EQ(serverHandler.m_data[sequence].sequence, sequence);
    }
}

TEST(link_hub, dialsAgainAfterThePeerRestarted)
{
    recording_handler clientHandler;
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    ASSERT_TRUE(client);
    const standins::reserved_port port;
    socket_address address;
    address.port = port.number();
    {
        recording_handler serverHandler;
        auto server = openHub(linkOptionsFor("server"), address, serverHandler);
        ASSERT_TRUE(server);
        client.value()->dial("server", address.toString());
        ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return seen.m_up.size() == 1; }));
    }
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return seen.m_reasons.size() == 1; }));
    EXPECT_FALSE(clientHandler.m_up[0]->send(data_frame {})) << "a closed connection accepted a frame";
    recording_handler serverHandler;
    auto server = openHub(linkOptionsFor("server"), address, serverHandler);
    ASSERT_TRUE(server) << server.error().toString();
    EXPECT_TRUE(clientHandler.waitFor([](auto &seen) { return seen.m_up.size() == 2; }));
}

// Guards against a process that keeps dialing the old address of a replaced VM.
TEST(link_hub, followsAPeerToAnotherAddress)
{
    recording_handler clientHandler;
    recording_handler oldHandler;
    recording_handler newHandler;
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    auto oldServer = openHub(linkOptionsFor("server"), {}, oldHandler);
    auto newServer = openHub(linkOptionsFor("server"), {}, newHandler);
    ASSERT_TRUE(client && oldServer && newServer);
    client.value()->dial("server", "127.0.0.1:" + std::to_string(oldServer.value()->port()));
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return seen.m_up.size() == 1; }));
    client.value()->dial("server", "127.0.0.1:" + std::to_string(newServer.value()->port()));
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return seen.m_up.size() == 2 && seen.m_reasons.size() == 1; }));
    EXPECT_EQ(clientHandler.m_reasons[0], "peer is reached at another address");
    EXPECT_FALSE(clientHandler.m_up[0]->send(data_frame {}));
    EXPECT_TRUE(clientHandler.m_up[1]->send(data_frame {}));
    EXPECT_TRUE(newHandler.waitFor([](auto &seen) { return seen.m_data.size() == 1; }));
}

// Guards against a deadlock when forget() is called while a connection attempt to the peer succeeds.
TEST(link_hub, forgetsAPeerThatIsBeingDialed)
{
    recording_handler serverHandler;
    recording_handler clientHandler;
    auto server = openHub(linkOptionsFor("server"), {}, serverHandler);
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    ASSERT_TRUE(server && client);
    const std::string address = "127.0.0.1:" + std::to_string(server.value()->port());
    // Vary the delay, so that forget() sometimes coincides with the completion of the attempt.
    for (int attempt = 0; attempt < 500; ++attempt) {
        client.value()->dial("server", address);
        std::this_thread::sleep_for(attempt * 2us);
        client.value()->forget("server");
    }
    client.value()->dial("server", address);
    EXPECT_TRUE(clientHandler.waitFor([](auto &seen) { return !seen.m_up.empty(); }));
}

TEST(link_hub, closesAConnectionWhosePeerIsSilent)
{
    recording_handler serverHandler;
    recording_handler clientHandler;
    link_options silentPeerOptions = linkOptionsFor("server");
    silentPeerOptions.heartbeatInterval = 1h;
    auto server = openHub(silentPeerOptions, {}, serverHandler);
    auto client = openHub(linkOptionsFor("client"), {}, clientHandler);
    ASSERT_TRUE(server);
    ASSERT_TRUE(client);
    client.value()->dial("server", "127.0.0.1:" + std::to_string(server.value()->port()));
    ASSERT_TRUE(clientHandler.waitFor([](auto &seen) { return !seen.m_reasons.empty(); }));
    EXPECT_EQ(clientHandler.m_reasons[0], "no frame for 2000 ms");
}

} // namespace
} // namespace bronzechute
