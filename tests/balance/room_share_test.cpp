#include "balance/room_share.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

/** @returns how many requests one gateway starts within one report interval. */
int startsAtOnce(double room, int gateways)
{
    room_share share;
    int started = 0;
    while (share.allows(room - started, gateways, start)) {
        share.take();
        ++started;
    }
    return started;
}

// Guards against gateways that all fill the same room before they hear from each other.
TEST(room_share, dividesRoomByGateways)
{
    EXPECT_EQ(startsAtOnce(24, 12), 4);
    EXPECT_EQ(startsAtOnce(24, 1), 24);
}

// Guards against gateways that never start a request while little room is left.
TEST(room_share, leavesOneRequestToEachGateway)
{
    EXPECT_EQ(startsAtOnce(3, 12), 1);
    EXPECT_EQ(startsAtOnce(0.5, 12), 0);
}

TEST(room_share, isRenewedAfterReports)
{
    room_share share;
    ASSERT_TRUE(share.allows(3, 12, start));
    share.take();
    EXPECT_FALSE(share.allows(3, 12, start + 50ms));
    EXPECT_TRUE(share.allows(3, 12, start + 100ms));
}

} // namespace

} // namespace bronzechute
