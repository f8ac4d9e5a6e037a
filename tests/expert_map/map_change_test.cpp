#include "expert_map/map_change.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t layers = 2;
constexpr std::size_t experts = 16;
constexpr std::size_t ranks = 4;

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
    const auto change = planMapChange(current, demandWithHotExpert(12), profile());
    ASSERT_TRUE(change);
    EXPECT_LT(change->skewAfter, change->skewBefore);
    EXPECT_GT(change->loads, 0U);
    EXPECT_GT(change->map.copies[0].size(), 1U);
    EXPECT_GE(change->copyTime, 10ms);
}

TEST(map_change, isNotPlannedForEvenDemand)
{
    EXPECT_EQ(planMapChange(roundRobinMap(layers, experts, ranks), demandWithHotExpert(1), profile()), std::nullopt);
}

TEST(map_change, keepsTheMemoryLimitsOfEachRank)
{
    const expert_map current = roundRobinMap(layers, experts, ranks);
    const auto change = planMapChange(current, demandWithHotExpert(40), profile());
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

} // namespace

} // namespace bronzechute
