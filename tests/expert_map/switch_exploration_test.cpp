#include "order_explorer.h"
#include "switch_world.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace bronzechute {
namespace {

/** Which messages of a fault-free run are delivered before the exploration begins. */
struct exploration_row
{
    const char *name; ///< The failure that the row guards against.
    fault_budget budget;
    int delivered; ///< Messages delivered in order first, so that a bounded depth reaches the late phases.
    int depth;
};

class switch_exploration : public testing::TestWithParam<exploration_row>
{
};

/** @returns the number of states of one depth up to which the exploration goes on; more take longer to run. */
std::size_t layerLimit()
{
    const char *limit = std::getenv("BRONZECHUTE_EXPLORE_LAYER");
    return limit != nullptr ? std::strtoull(limit, nullptr, 10) : 12'000;
}

TEST_P(switch_exploration, oneMapInEveryStep)
{
    switch_world world({}, 6, 1);
    for (int count = 0; count < GetParam().delivered && !world.network.empty(); ++count) {
        world.deliver(0);
    }
    world.budget = GetParam().budget;
    const auto report = exploreOrders(world, GetParam().depth, layerLimit(), [](const switch_world &) {});
    std::cout << "explored depth " << report.depth << ", states " << report.states << ", orders " << report.orders
              << '\n';
    EXPECT_FALSE(report.violated);
    EXPECT_GT(report.depth, 3);
}

// Messages of a switch without faults: 2 store calls with answers, then for 3 ranks stage, load, staged, promise
// request and promise, then the commit's call and answer and 3 times go.
constexpr int beforePromises = 13;
constexpr int beforeCommit = 19;

INSTANTIATE_TEST_SUITE_P(
    rows, switch_exploration,
    testing::Values(
        exploration_row {"lost_message_splits_the_group", {.drops = 2, .rankTimeouts = 1}, beforePromises, 24},
        exploration_row {"repeated_message_splits_the_group", {.duplicates = 2, .abandons = 1}, beforePromises, 24},
        exploration_row {"replaced_rank_steps_on_the_map_before_a_commit", {.rankKills = 1}, beforePromises, 24},
        exploration_row {"killed_rank_during_commit_joins_on_another_map", {.rankKills = 2}, beforeCommit, 24},
        exploration_row {"restarted_endpoint_forgets_its_promise", {.endpointRestarts = 2}, beforePromises, 24},
        exploration_row {"two_coordinators_commit_two_maps", {.takeovers = 1}, 0, 24},
        exploration_row {"frozen_coordinator_commits_past_its_lease", {.takeovers = 1}, beforePromises, 24},
        exploration_row {
            "frozen_coordinator_writes_after_takeover", {.takeovers = 1, .rankTimeouts = 2}, beforeCommit, 24},
        exploration_row {"restarted_coordinator_repeats_its_commit", {.coordinatorKills = 2}, beforeCommit, 24},
        exploration_row {"lost_store_answer_taken_as_failure",
                         {.drops = 1, .abandons = 1, .coordinatorTimeouts = 2},
                         beforeCommit,
                         24},
        exploration_row {
            "repeated_store_write_applied_twice", {.duplicates = 2, .coordinatorTimeouts = 1}, beforeCommit, 24},
        exploration_row {"group_restart_mixes_old_and_new_map", {.groupRestarts = 1}, beforeCommit, 24},
        exploration_row {"all_faults_together",
                         {.drops = 1,
                          .duplicates = 1,
                          .rankKills = 1,
                          .endpointRestarts = 1,
                          .coordinatorKills = 1,
                          .takeovers = 1,
                          .abandons = 1,
                          .groupRestarts = 1,
                          .rankTimeouts = 1,
                          .coordinatorTimeouts = 1},
                         beforePromises,
                         24}),
    [](const auto &row) { return std::string(row.param.name); });

struct completion_row
{
    const char *name; ///< The failure that the row guards against.
    int delivered;
    std::uint64_t lastStep;
    std::uint64_t margin;
};

class switch_completion : public testing::TestWithParam<completion_row>
{
};

TEST_P(switch_completion, withoutFaultsEveryOrderEndsOnTheNewMap)
{
    const auto &row = GetParam();
    switch_world world({}, row.lastStep, row.margin);
    for (int count = 0; count < row.delivered; ++count) {
        world.deliver(0);
    }
    std::size_t ends = 0;
    const auto report = exploreOrders(world, 80, 60'000, [&](const switch_world &end) {
        ++ends;
        EXPECT_EQ(end.record.map, 11U);
        for (const auto &rank : end.ranks) {
            EXPECT_EQ(rank.engine().map, 11U) << end.describe();
            EXPECT_FALSE(rank.engine().hold.has_value()) << end.describe();
            EXPECT_EQ(rank.engine().nextStep, row.lastStep + 1) << end.describe();
        }
    });
    std::cout << "explored depth " << report.depth << ", states " << report.states << ", orders " << report.orders
              << ", end states " << ends << '\n';
    EXPECT_TRUE(report.exhausted);
    EXPECT_FALSE(report.violated);
    EXPECT_GT(ends, 0U);
}

// Each row's last step is below the one from which a promise can be refused as too late: a refusal leads to a further
// attempt, and without timeouts not every order of those ends.
INSTANTIATE_TEST_SUITE_P(rows, switch_completion,
                         testing::Values(completion_row {"switch_stops_before_the_commit", 0, 2, 1},
                                         completion_row {"held_rank_does_not_step_onto_the_new_map", 16, 4, 2}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
