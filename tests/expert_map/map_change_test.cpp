#include "expert_map/map_change.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t layers = 2;
constexpr std::size_t experts = 16;
constexpr std::size_t ranks = 4;
const std::vector<double> even(ranks, 1.0);

engine_profile profile()
{
    engine_profile engine;
    engine.expertLayers = layers;
    engine.expertsPerLayer = experts;
    engine.expertSlots = 6;
    engine.spareExpertSlots = 2;
    engine.expertCopyMs = 10;
    return engine;
}

/** @returns demand in which the first expert of each layer receives `times` as much as each other expert. */
load_matrix demandWithHotExpert(double times)
{
    load_matrix demand(layers, experts);
    std::ranges::fill(demand.tokens, 1.0);
    for (std::size_t layer = 0; layer < layers; ++layer) {
        demand.at(layer, 0) = times;
    }
    return demand;
}

TEST(map_change, spreadsAHotExpert)
{
    const expert_map current = roundRobinMap(layers, experts, ranks);
    const auto change = planMapChange(current, demandWithHotExpert(12), even, profile());
    ASSERT_TRUE(change);
    EXPECT_LT(change->skewAfter, change->skewBefore);
    EXPECT_GT(change->loads, 0U);
    EXPECT_GT(change->map.copies[0].size(), 1U);
    EXPECT_GE(change->copyTime, 10ms);
}

TEST(map_change, isNotPlannedForEvenDemand)
{
    EXPECT_EQ(planMapChange(roundRobinMap(layers, experts, ranks), demandWithHotExpert(1), even, profile()),
              std::nullopt);
}

TEST(map_change, isNotPlannedForDemandOfAnotherModel)
{
    const expert_map current = roundRobinMap(layers, experts, ranks);
    for (const auto &[otherLayers, otherExperts] : {std::pair {layers, experts - 1}, std::pair {layers - 1, experts}}) {
        load_matrix demand(otherLayers, otherExperts);
        std::ranges::fill(demand.tokens, 1.0);
        demand.at(0, 0) = 40;
        EXPECT_EQ(planMapChange(current, demand, even, profile()), std::nullopt);
    }
}

TEST(map_change, keepsTheMemoryLimitsOfEachRank)
{
    const expert_map current = roundRobinMap(layers, experts, ranks);
    const auto change = planMapChange(current, demandWithHotExpert(40), even, profile());
    ASSERT_TRUE(change);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        for (std::size_t layer = 0; layer < layers; ++layer) {
            std::size_t held = 0;
            std::size_t loaded = 0;
            for (std::size_t expert = 0; expert < experts; ++expert) {
                const std::size_t index = layer * experts + expert;
                const bool holds = std::ranges::count(change->map.copies[index], rank) > 0;
                held += holds ? 1 : 0;
                loaded += holds && std::ranges::count(current.copies[index], rank) == 0 ? 1 : 0;
            }
            EXPECT_LE(held, profile().expertSlots);
            EXPECT_LE(loaded, profile().spareExpertSlots);
        }
    }
}

struct slow_rank_row
{
    const char *name; ///< Failure that the row guards against.
    std::size_t slowRanks;
    double slowdown;
    double demandSkew; ///< Exponent of the demand for the experts by their popularity.
};

class slow_ranks : public testing::TestWithParam<slow_rank_row>
{
};

/** A group of 12 ranks with 96 experts in 3 layers and 11 places, of which some ranks have become slow. */
TEST_P(slow_ranks, areRelievedOfTheirExperts)
{
    constexpr std::size_t groupRanks = 12;
    constexpr std::size_t groupLayers = 3;
    constexpr std::size_t groupExperts = 96;
    engine_profile engine;
    engine.expertLayers = groupLayers;
    engine.expertsPerLayer = groupExperts;
    engine.expertSlots = 11;
    engine.spareExpertSlots = 4;
    engine.expertCopyMs = 140;
    load_matrix demand(groupLayers, groupExperts);
    for (std::size_t layer = 0; layer < groupLayers; ++layer) {
        for (std::size_t expert = 0; expert < groupExperts; ++expert) {
            demand.at(layer, (expert * 37) % groupExperts) =
                std::pow(1.0 / static_cast<double>(expert + 4), GetParam().demandSkew);
        }
    }
    std::vector<double> speeds(groupRanks, 1.0);
    expert_map map = roundRobinMap(groupLayers, groupExperts, groupRanks);
    const auto planned = [&] {
        auto change = planMapChange(map, demand, speeds, engine);
        if (change) {
            map = change->map;
        }
        return change;
    };
    while (planned()) { }
    for (std::size_t rank = 0; rank < GetParam().slowRanks; ++rank) {
        speeds[rank] = 1.0 / GetParam().slowdown;
    }
    const auto change = planned();
    ASSERT_TRUE(change);
    EXPECT_LT(change->skewAfter, change->skewBefore / 2);
    while (planned()) { }
    for (const auto &copies : map.copies) {
        EXPECT_FALSE(copies.empty()) << "an expert has no rank";
    }
}

INSTANTIATE_TEST_SUITE_P(rows, slow_ranks,
                         testing::Values(slow_rank_row {"slow_rank_keeps_its_experts", 1, 4.0, 0.8},
                                         slow_rank_row {"slow_rank_keeps_evenly_demanded_experts", 1, 4.0, 0.0},
                                         slow_rank_row {"two_very_slow_ranks_keep_their_experts", 2, 12.0, 0.8}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
