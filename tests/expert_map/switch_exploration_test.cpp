#include "order_explorer.h"
#include "switch_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace bronzechute {
namespace {

/** An exploration that starts after a given number of messages of a run without faults. */
struct exploration_row
{
    const char *name; ///< The failure that the case guards against.
    fault_budget budget;
    int delivered; ///< Messages delivered in order beforehand, so that a bounded depth reaches the late phases.
    int depth;
};

class switch_exploration : public testing::TestWithParam<exploration_row>
{
};

/** @returns the number of states at one depth above which the exploration stops; it limits the run time. */
std::size_t frontierLimit()
{
    const char *limit = std::getenv("BRONZECHUTE_EXPLORE_LAYER");
    return limit != nullptr ? std::strtoull(limit, nullptr, 10) : 12'000;
}

TEST_P(switch_exploration, oneMapInEveryStep)
{
    switch_simulation simulation({}, 6, 1);
    for (int count = 0; count < GetParam().delivered && !simulation.network.empty(); ++count) {
        simulation.deliver(0);
    }
    simulation.budget = GetParam().budget;
    const auto report = exploreOrders(simulation, GetParam().depth, frontierLimit(), [](const switch_simulation &) {});
    std::cout << "explored depth " << report.depth << ", states " << report.states << ", orders " << report.orders
              << '\n';
    EXPECT_FALSE(report.violated);
    EXPECT_GT(report.depth, 3);
}

// Messages of a switch without faults: 2 store requests with their answers; stage, load, staged, promise_request and
// promise for each of 3 ranks; the commit's store request and answer; 3 commit messages.
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
    const char *name; ///< The failure that the case guards against.
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
    switch_simulation simulation({}, row.lastStep, row.margin);
    for (int count = 0; count < row.delivered; ++count) {
        simulation.deliver(0);
    }
    std::size_t ends = 0;
    const auto report = exploreOrders(simulation, 80, 60'000, [&](const switch_simulation &end) {
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

// The last step of each case is below the step from which a promise can be refused as `too_late`. A refusal leads to
// another attempt, and without timeouts not every order of events of repeated attempts ends.
INSTANTIATE_TEST_SUITE_P(rows, switch_completion,
                         testing::Values(completion_row {"switch_stops_before_the_commit", 0, 2, 1},
                                         completion_row {"held_rank_does_not_step_onto_the_new_map", 16, 4, 2}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
