#include "entry/endpoint_directory.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

class recording_link final : public link
{
public:
    explicit recording_link(std::uint64_t incarnation)
    {
        m_peer.node = "a";
        m_peer.incarnation = incarnation;
    }

    const hello_frame &peer() const override
    {
        return m_peer;
    }

    const std::string &address() const override
    {
        return m_address;
    }

    bool send(const frame &message) override
    {
        sent.push_back(message);
        return true;
    }

    void close(const std::string &) override
    {
    }

    std::int64_t peerClockMs() const override
    {
        return 0;
    }

    std::vector<frame> sent;

private:
    hello_frame m_peer;
    const std::string m_address = "127.0.0.1:1";
};

// A restarted endpoint process needs the warm pace of its predecessor as the reference for its cold start. Guards
// against sending none, and against overwriting it with the empty value that a new process reports.
TEST(endpoint_directory, sendsTheWarmPaceToARestartedEndpoint)
{
    const configuration_holder configuration;
    endpoint_directory directory({}, configuration);
    const auto first = std::make_shared<recording_link>(1);
    directory.onUp(first);
    EXPECT_TRUE(first->sent.empty());
    endpoint_status status;
    status.warmPace = {0.02, 0.3};
    directory.onHeartbeat(first, status, boot_clock::now());
    directory.onDown(first);
    for (std::uint64_t incarnation = 2; incarnation < 4; ++incarnation) {
        const auto next = std::make_shared<recording_link>(incarnation);
        directory.onUp(next);
        ASSERT_EQ(next->sent.size(), 1U);
        EXPECT_EQ(next->sent[0], frame(warm_pace_frame {0.02, 0.3}));
        directory.onHeartbeat(next, endpoint_status {}, boot_clock::now());
        directory.onDown(next);
    }
}

// Guards against an entry that keeps connecting to replaced VMs.
TEST(endpoint_directory, returnsTheEndpointsThatWereRemoved)
{
    const configuration_holder configuration;
    endpoint_directory directory({}, configuration);
    const time_point start = boot_clock::now();
    const std::vector<listed_vm> both {{"old", "127.0.0.1:1", false}, {"new", "127.0.0.1:2", false}};
    const std::vector<listed_vm> one {{"new", "127.0.0.1:2", false}};
    EXPECT_TRUE(directory.onVmList(both, start).empty());
    EXPECT_TRUE(directory.onVmList(one, start + std::chrono::minutes(5)).empty());
    EXPECT_EQ(directory.onVmList(one, start + std::chrono::minutes(11)), std::vector<std::string> {"old"});
    ASSERT_EQ(directory.known().size(), 1U);
    EXPECT_EQ(directory.known()[0].name, "new");
}

} // namespace
} // namespace bronzechute
