#include "standins/even_load_replay.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <tuple>

namespace bronzechute::standins {

namespace {

/** Mean of some seeds, since a single one differs by a few percent from another. */
even_load_result replayed(even_load_case each)
{
    constexpr int seeds = 2;
    even_load_result mean;
    for (each.seed = 1; each.seed <= seeds; ++each.seed) {
        const even_load_result result = replayEvenLoad(each);
        mean.busiestWork += result.busiestWork / seeds;
        mean.firstTokenP50Ms += result.firstTokenP50Ms / seeds;
        mean.firstTokenP95Ms += result.firstTokenP95Ms / seeds;
        mean.passMs += result.passMs / seeds;
    }
    return mean;
}

even_load_result withPerfectKnowledge(double load)
{
    return replayed({1, std::chrono::milliseconds {0}, load, even_load_rule::least_requests});
}

// Aims of the operators. Work is held for seconds, so that it is taken as the mean of 100 ms.
constexpr double busiestOverMean = 1.15;
constexpr double worseThanPerfect = 1.05;

using even_load_row = std::tuple<int, int, double>; ///< Gateways, age in ms, load.

class even_load : public testing::TestWithParam<even_load_row>
{
protected:
    even_load_case setting(even_load_rule rule) const
    {
        const auto &[gateways, age, load] = GetParam();
        return {gateways, std::chrono::milliseconds {age}, load, rule};
    }
    double load() const
    {
        return std::get<2>(GetParam());
    }
};

// Guards against servers that are overrun in turns, which make every pass of their rank groups longer.
TEST_P(even_load, isMoreEvenThanByLeastRequests)
{
    const even_load_result before = replayed(setting(even_load_rule::least_requests));
    const even_load_result after = replayed(setting(even_load_rule::forecast));
    EXPECT_LT(after.busiestWork - 1, 0.92 * (before.busiestWork - 1));
    EXPECT_LT(after.passMs, 0.97 * before.passMs);
    EXPECT_LT(after.firstTokenP50Ms, 0.95 * before.firstTokenP50Ms);
    EXPECT_LT(after.firstTokenP95Ms, 0.95 * before.firstTokenP95Ms);
}

// Guards against rules that even the load and let first tokens wait.
TEST_P(even_load, halfOfTheFirstTokensAreAsSoonAsWithPerfectKnowledge)
{
    EXPECT_LE(replayed(setting(even_load_rule::forecast)).firstTokenP50Ms,
              worseThanPerfect * withPerfectKnowledge(load()).firstTokenP50Ms);
}

// Guards against loss at the tail by the age of the reports alone, if each placement is told at once.
TEST_P(even_load, toldAtOnceFirstTokensAreAsSoonAsWithPerfectKnowledge)
{
    const even_load_result perfect = withPerfectKnowledge(load());
    const even_load_result told = replayed(setting(even_load_rule::forecast_told_at_once));
    EXPECT_LE(told.firstTokenP50Ms, worseThanPerfect * perfect.firstTokenP50Ms);
    EXPECT_LE(told.firstTokenP95Ms, worseThanPerfect * perfect.firstTokenP95Ms);
}

INSTANTIATE_TEST_SUITE_P(replayed, even_load,
                         testing::Combine(testing::Values(4, 20, 60), testing::Values(40, 250),
                                          testing::Values(0.3, 0.7, 0.95)),
                         [](const auto &row) {
                             return std::to_string(std::get<0>(row.param)) + "_gateways_"
                                 + std::to_string(std::get<1>(row.param)) + "_ms_load_"
                                 + std::to_string(std::lround(std::get<2>(row.param) * 100));
                         });

class even_load_aim : public testing::TestWithParam<double>
{
protected:
    static even_load_result oldKnowledge(double load)
    {
        return replayed({60, std::chrono::milliseconds {250}, load, even_load_rule::forecast});
    }
};

// The aim for 60 gateways and knowledge of 250 ms. Not reached, see KNOWN-RED.txt.
TEST_P(even_load_aim, busiestIsHardlyAboveTheMean)
{
    EXPECT_LT(oldKnowledge(GetParam()).busiestWork, busiestOverMean);
}

TEST_P(even_load_aim, lateFirstTokensAreAsSoonAsWithPerfectKnowledge)
{
    EXPECT_LE(oldKnowledge(GetParam()).firstTokenP95Ms,
              worseThanPerfect * withPerfectKnowledge(GetParam()).firstTokenP95Ms);
}

INSTANTIATE_TEST_SUITE_P(replayed, even_load_aim, testing::Values(0.3, 0.7, 0.95),
                         [](const auto &row) { return "load_" + std::to_string(std::lround(row.param * 100)); });

// At a single gateway nothing is foreseen, so that the rule stays the former one but for the sizes of requests.
TEST(even_load_alone, isTheFormerRule)
{
    const even_load_result before =
        replayEvenLoad({1, std::chrono::milliseconds {40}, 0.7, even_load_rule::least_requests});
    const even_load_result after =
        replayEvenLoad({1, std::chrono::milliseconds {40}, 0.7, even_load_rule::forecast_by_count});
    EXPECT_EQ(before.busiestRequests, after.busiestRequests);
    EXPECT_EQ(before.firstTokenP95Ms, after.firstTokenP95Ms);
}

} // namespace

} // namespace bronzechute::standins
