#include "balance/group_room_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

struct share_row
{
    const char *name; ///< Failure that the row guards against.
    double room;
    double least; ///< Requests that all gateways together start on the same knowledge, on average.
    double most;
};

class shared_room : public testing::TestWithParam<share_row>
{
};

TEST_P(shared_room, isNotFilledTwiceByAllGateways)
{
    constexpr int gateways = 12;
    constexpr int rounds = 200;
    int started = 0;
    for (std::uint64_t gateway = 0; gateway < gateways; ++gateway) {
        group_room_share share(gateway);
        for (int round = 0; round < rounds; ++round) {
            while (share.allows(GetParam().room, 1.0 / gateways, time_point(1h) + round * 40ms)) {
                share.take();
                ++started;
            }
        }
    }
    EXPECT_GE(started, GetParam().least * rounds);
    EXPECT_LE(started, GetParam().most * rounds);
}

INSTANTIATE_TEST_SUITE_P(rows, shared_room,
                         testing::Values(share_row {"room_is_filled_by_each_gateway", 24, 12, 24},
                                         share_row {"little_room_is_never_used", 3, 1.5, 3},
                                         share_row {"group_beyond_its_limit_takes_more", -20, 0, 0}),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against gateways with many callers that leave room to those without.
TEST(group_room_share, followsWhatAGatewayRuns)
{
    EXPECT_DOUBLE_EQ(shareOfRoom(30, 100, 12), 0.3);
    EXPECT_GT(shareOfRoom(0, 100, 12), 0);
    EXPECT_DOUBLE_EQ(shareOfRoom(0, 0, 4), 0.25);
    EXPECT_DOUBLE_EQ(shareOfRoom(50, 50, 12), 1);
}

} // namespace

} // namespace bronzechute
