#include "balance/room_share.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

struct division_case
{
    std::string name;
    double room;
    std::vector<int> waiting; ///< By gateway.
    double fewest; ///< Slots taken by all together, on average.
    double most;
};

class division : public testing::TestWithParam<division_case>
{
};

/** @returns the slots that each gateway takes before it hears of the others, on average. */
std::vector<double> takenBy(const division_case &row)
{
    constexpr int runs = 400;
    std::mt19937_64 random(7);
    int all = 0;
    for (const int waiting : row.waiting) {
        all += waiting;
    }
    std::vector<double> taken(row.waiting.size());
    for (int run = 0; run < runs; ++run) {
        for (std::size_t index = 0; index < row.waiting.size(); ++index) {
            room_share share;
            double room = row.room;
            for (int waiting = row.waiting[index]; waiting > 0 && room >= 1; --waiting) {
                if (!share.allows({room, waiting, all - row.waiting[index]}, start, random)) {
                    break;
                }
                share.recordTaken();
                room -= 1;
                taken[index] += 1.0 / runs;
            }
        }
    }
    return taken;
}

TEST_P(division, fillsTheRoomOnce)
{
    double sum = 0;
    for (const double taken : takenBy(GetParam())) {
        sum += taken;
    }
    EXPECT_GE(sum, GetParam().fewest);
    EXPECT_LE(sum, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    rows, division,
    testing::Values(division_case {"room_filled_by_each_gateway", 8, std::vector<int>(12, 3), 6, 10},
                    division_case {"one_slot_for_many_gateways", 1, std::vector<int>(44, 1), 0.7, 1.3},
                    division_case {"division_though_there_is_room_for_all", 40, std::vector<int>(12, 3), 35.99, 36.01},
                    division_case {"gateway_alone_limited", 5, {9}, 4.99, 5.01}),
    [](const auto &row) { return row.param.name; });

// Guards against slots that go to gateways where few wait.
TEST(room_share, followsWhatWaits)
{
    const auto taken = takenBy({"", 6, {15, 3}, 0, 0});
    EXPECT_GT(taken[0], 3 * taken[1]);
    EXPECT_GT(taken[1], 0.5);
}

// Guards against slots that stay free although their gateway knows of them at once.
TEST(room_share, leavesAFreedSlotToItsGateway)
{
    std::mt19937_64 random(7);
    room_share share;
    const room_state none {0, 4, 4};
    EXPECT_FALSE(share.allows(none, start, random));
    share.recordFreed();
    EXPECT_TRUE(share.allows({1, 4, 4}, start + 1ms, random));
}

} // namespace

} // namespace bronzechute
