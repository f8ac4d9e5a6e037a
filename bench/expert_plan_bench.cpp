// Time to plan a new map for the design size: 64 experts a layer, 60 layers, 32 ranks. Target: under 50 ms.
#include "expert_map/placement.h"
#include "expert_map/placement_planner.h"

#include <benchmark/benchmark.h>

#include <cmath>
#include <random>

namespace bronzechute {
namespace {

load_matrix randomLoad(std::mt19937_64 &random, double spread)
{
    std::normal_distribution<double> normal(0.0, spread);
    load_matrix load(60, 64);
    for (auto &tokens : load.tokens) {
        tokens = 1000 * std::exp(normal(random));
    }
    return load;
}

/** Plans from the placement for one demand to the demand of another time; the argument is 1000 * minGainPerLoad. */
void plan(benchmark::State &state)
{
    constexpr std::size_t ranks = 32;
    constexpr std::size_t slots = 3;
    std::mt19937_64 random(1);
    const std::vector<double> speeds(ranks, 1.0);
    const auto current = placeExperts(randomLoad(random, 0.8), ranks, slots, speeds);
    const auto load = randomLoad(random, 0.8);
    const planner_limits limits {slots, 100'000, 100'000, static_cast<double>(state.range(0)) / 1000, 1, 1.0, 0.0};
    double skew = 0;
    double loads = 0;
    for (auto round : state) {
        static_cast<void>(round);
        const auto result = planPlacement(current, load, speeds, limits);
        skew = loadSkew(result.map, load, speeds);
        loads = static_cast<double>(result.loads);
    }
    state.counters["skew_before"] = loadSkew(current, load, speeds);
    state.counters["skew_after"] = skew;
    state.counters["loads"] = loads;
}
BENCHMARK(plan)->Arg(1)->Arg(2)->Arg(5)->Arg(10)->Arg(50)->Unit(benchmark::kMillisecond);

void placeFromScratch(benchmark::State &state)
{
    std::mt19937_64 random(1);
    const std::vector<double> speeds(32, 1.0);
    const auto load = randomLoad(random, 0.8);
    double skew = 0;
    for (auto round : state) {
        static_cast<void>(round);
        skew = loadSkew(placeExperts(load, 32, 3, speeds), load, speeds);
    }
    state.counters["skew"] = skew;
}
BENCHMARK(placeFromScratch)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace bronzechute

BENCHMARK_MAIN();
