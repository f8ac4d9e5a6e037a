#include "expert_map/rank_speed_tracker.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

struct avoidance_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<double> slowdowns;
    std::vector<std::size_t> avoided;
};

class avoidance : public testing::TestWithParam<avoidance_row>
{
};

TEST_P(avoidance, keepsTheHighestThroughput)
{
    rank_speed_tracker tracker;
    const std::vector<double> &slowdowns = GetParam().slowdowns;
    for (std::size_t rank = 0; rank < slowdowns.size(); ++rank) {
        tracker.record(rank, slowdowns[rank], start);
    }
    EXPECT_EQ(tracker.avoidedRanks(slowdowns.size()), GetParam().avoided);
}

INSTANTIATE_TEST_SUITE_P(rows, avoidance,
                         testing::Values(avoidance_row {"usual_differences_cost_slots", {1, 1.1, 1, 1.15}, {}},
                                         avoidance_row {"slow_rank_slows_all_streams", {1, 4, 1, 1}, {1}},
                                         avoidance_row {"slowest_rank_only", {1, 12, 1.5, 1, 1}, {1, 2}},
                                         avoidance_row {"half_of_the_slots_lost_for_little", {1.4, 1.4, 1, 1}, {}},
                                         avoidance_row {"all_slow_ranks_avoided", {4, 4, 4, 4}, {}}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(rank_speed_tracker, reportsTheSpeedsOfSlowRanks)
{
    rank_speed_tracker tracker;
    tracker.record(2, 4.0, start);
    EXPECT_EQ(tracker.speeds(4), (std::vector<double> {1, 1, 0.25, 1}));
    EXPECT_EQ(tracker.changedAt(), start);
    tracker.record(2, 4.2, start + 1s);
    EXPECT_EQ(tracker.changedAt(), start) << "a small difference is worth no new map";
    tracker.record(2, 1.0, start + 2s);
    EXPECT_EQ(tracker.changedAt(), start + 2s);
    EXPECT_EQ(tracker.speeds(4), (std::vector<double> {1, 1, 1, 1}));
}

/** @returns how often the speeds are read within a time, if isDue() is asked every 20 ms. */
int countReads(rank_speed_tracker &tracker, bool slow, std::chrono::milliseconds passTime, time_point from,
               std::chrono::milliseconds time)
{
    int reads = 0;
    for (time_point now = from; now < from + time; now += 20ms) {
        reads += tracker.isDue(slow, passTime, now) ? 1 : 0;
    }
    return reads;
}

TEST(rank_speed_tracker, isNotReadWhileTheGroupIsFast)
{
    rank_speed_tracker tracker;
    EXPECT_EQ(countReads(tracker, false, 50ms, start, 10s), 0);
}

TEST(rank_speed_tracker, isReadLessOftenWhileItExplainsNothing)
{
    rank_speed_tracker tracker;
    EXPECT_EQ(countReads(tracker, true, 100ms, start, 100ms), 1) << "the first read must not wait";
    EXPECT_LE(countReads(tracker, true, 100ms, start + 100ms, 20s), 7);
}

TEST(rank_speed_tracker, isReadSoonWhenPassesBecomeSlowerStill)
{
    rank_speed_tracker tracker;
    countReads(tracker, true, 100ms, start, 20s);
    EXPECT_EQ(countReads(tracker, true, 400ms, start + 20s, 600ms), 1);
}

TEST(rank_speed_tracker, isReadUntilASlowRankHasRecovered)
{
    rank_speed_tracker tracker;
    tracker.record(0, 4.0, start);
    EXPECT_GE(countReads(tracker, false, 50ms, start, 4s), 3);
    tracker.record(0, 1.0, start + 4s);
    EXPECT_EQ(countReads(tracker, false, 50ms, start + 4s, 4s), 0);
}

} // namespace

} // namespace bronzechute
