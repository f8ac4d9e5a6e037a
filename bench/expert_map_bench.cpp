// Compares ways to rebalance under drifting demand in a model of the step time; prints one line for each case.
// Usage: expert_map_bench [SEEDS]
#include "expert_map/placement.h"
#include "expert_map/rebalance_decider.h"
#include "expert_map/straggler_detector.h"
#include "rebalance_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace bronzechute {

namespace {

constexpr std::size_t layers = 4; // Each stands for 15 layers of the 60 of the design size.
constexpr std::size_t experts = 64;
constexpr int duration = 1800;
constexpr double fixedSeconds = 0.020; // Part of a step that no map changes.
constexpr double expertSeconds = 0.030; // Expert work of a step at perfect balance and normal speed.
constexpr double tokensPerStep = 4096;
constexpr double expertBytes = 15 * 24e6;
constexpr double storeRate = 4e9;
constexpr double loadSlowdown = 0.1;
constexpr double switchPause = 0.050; // One step, when the promised step comes before the decision.
constexpr int intervalSeconds = 120;
constexpr int reportLag = 2;
constexpr double reportGap = 0.1; // Share of reports that never arrive.
constexpr double reportNoise = 0.1;
constexpr int stragglerBegin = 600;
constexpr double stragglerSpeed = 0.7;

/** The state of one simulated group. */
struct group_run
{
    expert_map map;
    expert_map next; ///< Valid while loading.
    double loadEnd = -1;
    bool loading = false;
};

double stepSeconds(const expert_map &map, const load_matrix &load, const std::vector<double> &speeds)
{
    return fixedSeconds
        + expertSeconds * criticalLoad(map, load, speeds) * static_cast<double>(map.ranks)
        / static_cast<double>(layers);
}

rebalance_settings settingsFor(std::size_t slots)
{
    rebalance_settings settings;
    settings.slots = slots;
    settings.maxLoadsPerRank = slots * layers;
    settings.maxLoadsPerHour = 100'000;
    settings.expertBytes = static_cast<std::uint64_t>(expertBytes);
    settings.storeBytesPerSecond = storeRate;
    settings.loadSlowdown = loadSlowdown;
    settings.pauseSeconds = switchPause;
    settings.failureRiskSeconds = 0.05;
    return settings;
}

load_matrix noisy(const load_matrix &load, std::mt19937_64 &random)
{
    std::normal_distribution<double> normal(0.0, reportNoise);
    load_matrix report = load;
    for (auto &tokens : report.tokens) {
        tokens *= std::exp(normal(random));
    }
    return report;
}

void reportSpeeds(straggler_detector &detector, const expert_map &map, const load_matrix &load,
                  const std::vector<double> &speeds, std::mt19937_64 &random)
{
    std::normal_distribution<double> normal(0.0, 0.03);
    std::vector<double> busy(map.ranks, 0.0);
    std::vector<double> tokens(map.ranks, 0.0);
    const std::vector<double> normalSpeeds(map.ranks, 1.0);
    for (std::size_t layer = 0; layer < layers; ++layer) {
        const auto loads = rankLoads(map, load, layer, normalSpeeds);
        for (std::size_t rank = 0; rank < map.ranks; ++rank) {
            tokens[rank] += loads[rank];
            busy[rank] += loads[rank] / speeds[rank] * std::exp(normal(random));
        }
    }
    detector.report(busy, tokens);
}

} // namespace

simulation_result simulate(const simulation_case &scenario, rebalance_policy policy)
{
    const std::size_t ranks = scenario.ranks;
    const std::size_t slots = experts / ranks + (ranks == 4 ? 2 : 1);
    const std::vector<double> normalSpeeds(ranks, 1.0);
    std::vector<double> speeds = normalSpeeds;
    std::mt19937_64 random(scenario.seed * 977);
    expert_demand demand(scenario.demand, layers, experts, scenario.seed);
    expert_load_estimator estimator({});
    rebalance_decider decider(settingsFor(slots));
    straggler_detector detector(ranks, {});
    std::deque<std::pair<int, load_matrix>> pending;
    group_run run {contiguousMap(layers, experts, ranks), {}, -1, false};
    std::optional<load_matrix> latest;
    simulation_result result;
    for (int second = 1; second <= duration; ++second) {
        const time_point now {std::chrono::seconds(second)};
        demand.advance(second);
        if (scenario.straggler && second >= stragglerBegin) {
            speeds[1] = stragglerSpeed;
        }
        pending.emplace_back(second, noisy(demand.load(), random));
        bool reported = false;
        while (!pending.empty() && pending.front().first + reportLag <= second) {
            if (std::uniform_real_distribution<>()(random) >= reportGap) {
                estimator.report(time_point(std::chrono::seconds(pending.front().first)), pending.front().second);
                latest = pending.front().second;
                reported = true;
            }
            pending.pop_front();
        }
        reportSpeeds(detector, run.map, demand.load(), speeds, random);
        double pause = 0;
        if (run.loading && run.loadEnd <= second) {
            run.map = run.next;
            run.loading = false;
            pause = switchPause;
        }
        if (policy == rebalance_policy::bound && second % 2 == 1) {
            // The map of a fresh placement, improved by the same local search, with the true demand and speeds.
            const auto fresh = placeExperts(demand.load(), ranks, slots, speeds);
            run.map = planPlacement(fresh, demand.load(), speeds, {slots, 100'000, 100'000, 1e-4, 1, 1.0, 0}).map;
        } else if (!run.loading && latest) {
            std::optional<expert_map> next;
            if ((policy == rebalance_policy::greedy && reported)
                || (policy == rebalance_policy::interval && second % intervalSeconds == 0)) {
                next = placeExperts(*latest, ranks, slots, normalSpeeds);
            } else if (policy == rebalance_policy::decider) {
                const auto planned = detector.speeds();
                const double expertTime = stepSeconds(run.map, demand.load(), speeds) - fixedSeconds;
                auto decision =
                    decider.decide(now, {run.map, estimator, planned, expertTime / (expertTime + fixedSeconds), 0.0});
                if (decision.accepted()) {
                    decider.recordStart(now, decision.plan.loads);
                    next = std::move(decision.plan.map);
                }
            }
            if (next && *next != run.map) {
                const auto loads = loadsPerRank(run.map, *next);
                const double bytes =
                    static_cast<double>(std::accumulate(loads.begin(), loads.end(), std::size_t {0})) * expertBytes;
                run.next = std::move(*next);
                run.loading = true;
                run.loadEnd = second + bytes / storeRate;
                result.bytesMoved += bytes;
                ++result.rebalances;
            }
        }
        const double step = stepSeconds(run.map, demand.load(), speeds);
        const double slowed = std::clamp(run.loading ? run.loadEnd - second : 0.0, 0.0, 1.0);
        const double ideal = tokensPerStep / step;
        const double tokens = ideal * (1 - pause) * (1 - slowed + slowed / (1 + loadSlowdown));
        result.netTokens += tokens;
        result.tokensLost += ideal - tokens;
        result.pauseSeconds += pause;
        result.skewExcess += (loadSkew(run.map, demand.load(), speeds) - 1) / duration;
    }
    return result;
}

} // namespace bronzechute

int main(int argc, char **argv)
{
    using namespace bronzechute;
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
    constexpr const char *demands[] = {"gradual", "sudden", "alternating", "slow"};
    constexpr const char *policies[] = {"even", "interval", "greedy", "decider", "bound"};
    std::printf(
        "demand      straggler ranks policy    skew_excess   GB_moved pause_s lost_Mtok  net_Mtok rebalances\n");
    for (int demand = 0; demand < 4; ++demand) {
        for (const bool straggler : {false, true}) {
            for (const std::size_t ranks : {std::size_t {4}, std::size_t {16}, std::size_t {32}}) {
                for (int policy = 0; policy < 5; ++policy) {
                    simulation_result mean;
                    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                        const auto result = simulate({static_cast<demand_kind>(demand), straggler, ranks, seed},
                                                     static_cast<rebalance_policy>(policy));
                        const auto share = 1.0 / static_cast<double>(seeds);
                        mean.skewExcess += result.skewExcess * share;
                        mean.bytesMoved += result.bytesMoved * share;
                        mean.pauseSeconds += result.pauseSeconds * share;
                        mean.tokensLost += result.tokensLost * share;
                        mean.netTokens += result.netTokens * share;
                        mean.rebalances += result.rebalances;
                    }
                    std::printf("%-11s %-9s %5zu %-9s %11.4f %10.1f %7.2f %9.3f %9.2f %10.1f\n", demands[demand],
                                straggler ? "yes" : "no", ranks, policies[policy], mean.skewExcess,
                                mean.bytesMoved / 1e9, mean.pauseSeconds, mean.tokensLost / 1e6, mean.netTokens / 1e6,
                                static_cast<double>(mean.rebalances) / static_cast<double>(seeds));
                    std::fflush(stdout);
                }
            }
        }
    }
    return 0;
}
