#include "expert_map/demand_sampler.h"
#include "expert_map/demand_similarity.h"
#include "expert_map/group_switch.h"
#include "expert_map/step_time_trend.h"
#include "simulated_demand.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

struct similarity_row
{
    const char *name; ///< Failure that the row guards against.
    double exponent;
    double selectionsPerPass;
    bool shifts;
};

class sample_similarity : public testing::TestWithParam<similarity_row>
{
};

// Samples of 8 passes of 6 requests each.
TEST_P(sample_similarity, tellsAShiftFromNoise)
{
    demand_shape shape;
    shape.ranks = 2;
    shape.exponent = GetParam().exponent;
    shape.selectionsPerPass = GetParam().selectionsPerPass;
    simulated_demand demand(shape, 1);
    const auto passes = [&demand] {
        for (int pass = 0; pass < 8; ++pass) {
            demand.pass();
        }
    };
    passes();
    const load_matrix before = demand.counts(0);
    load_matrix after = demand.counts(1);
    if (GetParam().shifts) {
        demand.shift();
        const load_matrix known = after;
        passes();
        after = demand.counts(1);
        for (std::size_t index = 0; index < after.tokens.size(); ++index) {
            after.tokens[index] -= known.tokens[index];
        }
    }
    EXPECT_EQ(demandSimilarity(before, after) < 0.88, GetParam().shifts);
}

INSTANTIATE_TEST_SUITE_P(rows, sample_similarity,
                         testing::Values(similarity_row {"shift_of_nearly_even_demand_is_missed", 0.53, 240, true},
                                         similarity_row {"shift_of_skewed_demand_is_missed", 1.5, 240, true},
                                         similarity_row {"shift_in_small_samples_is_missed", 0.53, 24, true},
                                         similarity_row {"noise_of_nearly_even_demand_is_a_shift", 0.53, 240, false},
                                         similarity_row {"noise_of_skewed_demand_is_a_shift", 1.5, 240, false},
                                         similarity_row {"noise_of_small_samples_is_a_shift", 0.53, 24, false},
                                         similarity_row {"even_demand_is_a_shift", 0.0, 240, false}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(demand_sampler, readsOtherRanksWhenAllItHasAskedAreSilent)
{
    const std::vector<std::string> ranks {"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"};
    std::set<std::string> asked;
    std::size_t readings = 0;
    demand_sampler sampler;
    const time_point begin {1h};
    for (time_point now = begin; now < begin + 3s; now += 20ms) {
        for (const std::string &rank : sampler.due(ranks, false, now)) {
            asked.insert(rank);
            ++readings;
        }
    }
    EXPECT_EQ(asked.size(), ranks.size());
    EXPECT_LE(readings, 3 * ranks.size() * 5) << "more than five readings of each rank a second";
    EXPECT_EQ(sampler.demand(begin + 3s), nullptr);
}

TEST(step_time_trend, noticesLongerStepsAndGetsUsedToThem)
{
    step_time_trend trend;
    trend.update(100ms);
    EXPECT_FALSE(trend.hasSlowed());
    trend.update(120ms);
    EXPECT_FALSE(trend.hasSlowed()) << "a step with a prompt is taken for a shift";
    trend.update(200ms);
    EXPECT_TRUE(trend.hasSlowed());
    for (int update = 0; update < 200; ++update) {
        trend.update(200ms);
    }
    EXPECT_FALSE(trend.hasSlowed()) << "a group that stays slow is read all the time";
    trend.update(0ms);
    EXPECT_FALSE(trend.hasSlowed());
}

// The group goes on while the engine refuses, and computes with the old map until the switch step.
TEST(group_switch, triesTheNextStepAfterARefusedHold)
{
    const time_point now {1h};
    group_switch change(1, 5, 1, 0ms, now);
    change.onOutcome(change.due(now).front(), command_outcome::accepted, now);
    change.due(now);
    change.onStep(100, 250ms);
    const std::int64_t first = change.step();
    change.onOutcome(change.due(now).front(), command_outcome::rejected, now);
    EXPECT_EQ(change.step(), first + 1);
    int holds = 0;
    while (!change.ended() && holds < 100) {
        if (change.phase() == switch_phase::reading_step) {
            change.onStep(100, 250ms);
        }
        for (const addressed_command &command : change.due(now)) {
            ++holds;
            change.onOutcome(command, command_outcome::rejected, now);
        }
    }
    EXPECT_EQ(change.phase(), switch_phase::abandoned);
    EXPECT_LE(holds, 20) << "an engine that refuses each step is asked without an end";
}

} // namespace

} // namespace bronzechute
