#include "expert_map/placement.h"
#include "expert_map/rebalance_decider.h"
#include "expert_map/straggler_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace bronzechute {
namespace {

load_matrix skewedLoad(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> normal(0.0, 0.8);
    load_matrix load(3, 64);
    for (auto &tokens : load.tokens) {
        tokens = 100 * std::exp(normal(random));
    }
    return load;
}

/** @returns whether every expert has a copy, no rank holds an expert twice and no rank exceeds its slots. */
bool isValid(const expert_map &map, std::size_t slots)
{
    for (std::size_t layer = 0; layer < map.layers; ++layer) {
        std::vector<std::size_t> used(map.ranks, 0);
        for (std::size_t expert = 0; expert < map.experts; ++expert) {
            const auto &copies = map.copiesOf(layer, expert);
            if (copies.empty()
                || std::adjacent_find(copies.begin(), copies.end(), std::greater_equal<>()) != copies.end()) {
                return false;
            }
            for (const auto rank : copies) {
                ++used[rank];
            }
        }
        if (*std::max_element(used.begin(), used.end()) > slots) {
            return false;
        }
    }
    return true;
}

struct plan_row
{
    const char *name; ///< The failure that the case guards against.
    std::size_t ranks;
    std::size_t slots;
    std::size_t maxLoads;
    std::size_t maxLoadsPerRank;
    bool improves;
};

class placement_planner : public testing::TestWithParam<plan_row>
{
};

TEST_P(placement_planner, keepsLimitsAndImproves)
{
    const auto &row = GetParam();
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const std::vector<double> speeds(row.ranks, 1.0);
        const auto current = placeExperts(skewedLoad(seed + 100), row.ranks, row.slots, speeds);
        ASSERT_TRUE(isValid(current, row.slots)) << "seed " << seed;
        const auto plan = planPlacement(current, skewedLoad(seed), speeds,
                                        {row.slots, row.maxLoads, row.maxLoadsPerRank, 0.001, 10, 5.0, 0.0});
        EXPECT_TRUE(isValid(plan.map, row.slots)) << "seed " << seed;
        EXPECT_LE(plan.loads, row.maxLoads);
        for (const auto bytes : plan.bytesPerRank) {
            EXPECT_LE(bytes, row.maxLoadsPerRank * 10);
        }
        EXPECT_DOUBLE_EQ(plan.loadSeconds, static_cast<double>(plan.loads) * 2);
        EXPECT_EQ(plan.loadAfter < plan.loadBefore, row.improves) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(rows, placement_planner,
                         testing::Values(plan_row {"memory_exceeded_at_4_ranks", 4, 18, 1000, 1000, true},
                                         plan_row {"memory_exceeded_at_16_ranks", 16, 5, 1000, 1000, true},
                                         plan_row {"memory_exceeded_at_32_ranks", 32, 3, 1000, 1000, true},
                                         plan_row {"expert_lost_without_spare_copies", 32, 2, 1000, 1000, true},
                                         plan_row {"load_limit_exceeded", 32, 3, 6, 1000, true},
                                         plan_row {"staging_memory_of_a_rank_exceeded", 32, 3, 1000, 2, true},
                                         plan_row {"moves_without_allowed_loads", 32, 3, 0, 0, false}),
                         [](const auto &row) { return std::string(row.param.name); });

struct decision_row
{
    const char *name; ///< The failure that the case guards against.
    rebalance_reason expected;
    bool paused = false;
    int reportAgeSeconds = 1;
    int lastRebalanceSecondsAgo = 10'000;
    std::size_t lastLoads = 0;
    bool balanced = false;
    double storeRate = 1000; ///< Bytes per second; an expert has 10 bytes.
    double queueSeconds = 0;
    bool drifting = false;
};

class rebalance_decider_test : public testing::TestWithParam<decision_row>
{
};

TEST_P(rebalance_decider_test, returnsTheReason)
{
    const auto &row = GetParam();
    const time_point now {std::chrono::hours(10)};
    rebalance_settings settings;
    settings.slots = row.balanced ? 2 : 3;
    settings.maxLoadsPerRank = 1000;
    settings.maxLoadsPerHour = 200;
    settings.expertBytes = 10;
    settings.storeBytesPerSecond = row.storeRate;
    rebalance_decider decider(settings);
    decider.setPaused(row.paused);
    decider.recordStart(now - std::chrono::seconds(row.lastRebalanceSecondsAgo), row.lastLoads);
    expert_load_estimator estimator({});
    const auto measuredAt = now - std::chrono::seconds(row.reportAgeSeconds);
    if (row.drifting) {
        estimator.report(measuredAt - std::chrono::seconds(600), skewedLoad(3));
        estimator.report(measuredAt - std::chrono::seconds(30), skewedLoad(4));
    }
    load_matrix even(3, 64);
    even.tokens.assign(even.tokens.size(), 100.0);
    estimator.report(measuredAt, row.balanced ? even : skewedLoad(1));
    const std::vector<double> speeds(32, 1.0);
    const auto current = row.balanced ? contiguousMap(3, 64, 32) : placeExperts(skewedLoad(2), 32, 3, speeds);
    const auto decision = decider.decide(now, {current, estimator, speeds, 0.5, row.queueSeconds});
    EXPECT_EQ(decision.reason, row.expected) << decision.toString();
}

INSTANTIATE_TEST_SUITE_P(
    rows, rebalance_decider_test,
    testing::Values(
        decision_row {.name = "gain_not_taken", .expected = rebalance_reason::rebalance},
        decision_row {
            .name = "operator_pause_ignored", .expected = rebalance_reason::paused_by_operator, .paused = true},
        decision_row {.name = "acts_on_old_reports", .expected = rebalance_reason::no_reports, .reportAgeSeconds = 60},
        decision_row {
            .name = "rebalances_in_a_row", .expected = rebalance_reason::too_soon, .lastRebalanceSecondsAgo = 3},
        decision_row {.name = "hourly_limit_ignored",
                      .expected = rebalance_reason::hourly_load_limit,
                      .lastRebalanceSecondsAgo = 600,
                      .lastLoads = 200},
        decision_row {.name = "hourly_limit_never_ends",
                      .expected = rebalance_reason::rebalance,
                      .lastRebalanceSecondsAgo = 3700,
                      .lastLoads = 200},
        decision_row {.name = "moves_without_gain", .expected = rebalance_reason::balanced, .balanced = true},
        decision_row {
            .name = "loads_cost_more_than_they_gain", .expected = rebalance_reason::balanced, .storeRate = 0.005},
        decision_row {.name = "queue_of_the_store_ignored",
                      .expected = rebalance_reason::low_gain_cost_ratio,
                      .queueSeconds = 1799},
        decision_row {.name = "drift_before_the_loads_end_ignored",
                      .expected = rebalance_reason::low_gain_cost_ratio,
                      .queueSeconds = 300,
                      .drifting = true}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(expert_load_estimator, ignoresALateReport)
{
    expert_load_estimator estimator({});
    estimator.report(time_point(std::chrono::seconds(100)), skewedLoad(1));
    estimator.report(time_point(std::chrono::seconds(110)), skewedLoad(2));
    const auto before = estimator.load();
    estimator.report(time_point(std::chrono::seconds(105)), skewedLoad(3));
    EXPECT_EQ(estimator.load(), before);
    EXPECT_EQ(estimator.age(time_point(std::chrono::seconds(112))), std::chrono::seconds(2));
}

struct straggler_row
{
    const char *name; ///< The failure that the case guards against.
    std::vector<double> busy;
    std::vector<double> tokens;
    int reports;
    straggler_verdict expected; ///< Of rank 0.
    double speed; ///< Of rank 0.
};

class straggler_detector_test : public testing::TestWithParam<straggler_row>
{
};

TEST_P(straggler_detector_test, determinesTheCause)
{
    const auto &row = GetParam();
    straggler_detector detector(row.busy.size(), {});
    for (int count = 0; count < row.reports; ++count) {
        detector.report(row.busy, row.tokens);
    }
    EXPECT_EQ(detector.verdicts()[0], row.expected);
    EXPECT_NEAR(detector.speeds()[0], row.speed, 1e-6);
}

INSTANTIATE_TEST_SUITE_P(rows, straggler_detector_test,
                         testing::Values(straggler_row {"hot_expert_taken_for_a_slow_machine",
                                                        {2, 1, 1, 1},
                                                        {200, 100, 100, 100},
                                                        100,
                                                        straggler_verdict::hot_experts,
                                                        1},
                                         straggler_row {"slow_machine_taken_for_a_hot_expert",
                                                        {1.25, 1, 1, 1},
                                                        {100, 100, 100, 100},
                                                        100,
                                                        straggler_verdict::slow_shift_load,
                                                        0.8},
                                         straggler_row {"slow_machine_with_few_tokens_overlooked",
                                                        {1.25, 1, 1, 1},
                                                        {50, 100, 100, 100},
                                                        100,
                                                        straggler_verdict::slow_replace,
                                                        0.4},
                                         straggler_row {"replaced_for_a_short_stall",
                                                        {2, 1, 1, 1},
                                                        {100, 100, 100, 100},
                                                        10,
                                                        straggler_verdict::slow_shift_load,
                                                        0.5},
                                         straggler_row {"all_replaced_for_a_common_cause",
                                                        {2, 2, 1, 1, 1, 1, 1, 1},
                                                        {1, 1, 1, 1, 1, 1, 1, 1},
                                                        100,
                                                        straggler_verdict::slow_alert_operator,
                                                        0.5},
                                         straggler_row {"missing_report_read_as_slow",
                                                        {0, 1, 1, 1},
                                                        {0, 100, 100, 100},
                                                        100,
                                                        straggler_verdict::normal,
                                                        1}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
