#include "map_replay.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** Aim: the skew after a shift, relative to the best one that slots and spare slots allow. */
constexpr double wantedRelativeSkew = 1.15;
constexpr auto shiftInterval = 4s;

struct replay_row
{
    std::string name; ///< Failure that the row guards against.
    demand_shape shape;
    std::size_t slots = 3;
    std::size_t spareSlots = 2;
    double copyMs = 16;
    replay_fault fault = replay_fault::none;
};

engine_profile profileOf(const replay_row &row)
{
    engine_profile profile;
    profile.expertLayers = row.shape.layers;
    profile.expertsPerLayer = row.shape.experts;
    profile.expertSlots = row.slots;
    profile.spareExpertSlots = row.spareSlots;
    profile.expertCopyMs = row.copyMs;
    return profile;
}

class shifting_demand : public testing::TestWithParam<replay_row>
{
};

/** @returns the mean over some shifts of the skew at a time after each, relative to the best one. */
double relativeSkew(const replay_row &row, boot_clock::duration timeAfterShift)
{
    constexpr int shifts = 4;
    constexpr int seeds = 2;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        map_replay replay(row.shape, profileOf(row), row.fault, seed);
        replay.run(2s);
        for (int shift = 0; shift < shifts; ++shift) {
            replay.shift();
            const double best = replay.bestSkew();
            replay.run(timeAfterShift);
            sum += replay.skew() / best;
            replay.run(shiftInterval - timeAfterShift);
        }
        EXPECT_EQ(replay.violation, "");
        EXPECT_GE(replay.switches, shifts);
        testing::Test::RecordProperty("readings", replay.readings);
    }
    return sum / (shifts * seeds);
}

TEST_P(shifting_demand, isFollowedByTheMapInTime)
{
    EXPECT_LE(relativeSkew(GetParam(), 600ms), wantedRelativeSkew);
}

TEST_P(shifting_demand, isFollowedByTheMapInTwiceTheTime)
{
    EXPECT_LE(relativeSkew(GetParam(), 1200ms), wantedRelativeSkew);
}

INSTANTIATE_TEST_SUITE_P(
    rows, shifting_demand,
    testing::Values(replay_row {"large_group_keeps_its_old_map", {}},
                    replay_row {"silent_rank_delays_the_map_of_a_large_group", {}, 3, 2, 16, replay_fault::silent_rank},
                    replay_row {"group_of_24_keeps_its_old_map", {24, 16, 96, 0.94, 0.75, 0.5, 7, 336}, 5, 2, 19},
                    replay_row {"small_group_keeps_its_old_map", {8, 6, 64, 1.5, 0.65, 0.5, 6, 200}, 11, 4, 26}),
    [](const auto &row) { return row.param.name; });

class coordinator_faults : public testing::TestWithParam<replay_row>
{
};

TEST_P(coordinator_faults, leaveAGroupWithOneMapThatFitsAgain)
{
    map_replay replay(GetParam().shape, profileOf(GetParam()), GetParam().fault, 1);
    replay.run(6s); // The fault begins during the first switch.
    EXPECT_TRUE(replay.faultEnded);
    replay.run(2s);
    EXPECT_EQ(replay.violation, "");
    EXPECT_LE(replay.skew(), wantedRelativeSkew * replay.bestSkew()) << "the group kept an old map after the fault";
}

INSTANTIATE_TEST_SUITE_P(
    rows, coordinator_faults,
    testing::Values(
        replay_row {"killed_coordinator_leaves_the_group_held", {}, 3, 2, 16, replay_fault::coordinator_killed},
        replay_row {"frozen_coordinator_goes_on_with_old_steps", {}, 3, 2, 16, replay_fault::coordinator_frozen},
        replay_row {"lost_answers_leave_the_group_held", {}, 3, 2, 16, replay_fault::answers_lost},
        replay_row {"lost_lease_leaves_the_group_held", {}, 3, 2, 16, replay_fault::lease_lost},
        replay_row {"group_keeps_the_map_of_an_earlier_epoch", {}, 3, 2, 16, replay_fault::formed_anew}),
    [](const auto &row) { return row.param.name; });

} // namespace

} // namespace bronzechute
