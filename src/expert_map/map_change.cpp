#include "expert_map/map_change.h"

#include "expert_map/placement_search.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace bronzechute {

namespace {

// Minimum decrease of the critical load that outweighs the cost of the loads and commands of a change.
constexpr double minMapChangeGainShare = 0.12;
// Limits the search; how many loads are worth their time is decided by comparing plans of different sizes.
constexpr double minMapChangeGainPerLoad = 0.001;
constexpr double copyTimeMarginFactor = 1.1;
constexpr std::chrono::milliseconds maxMapChangeCopyTime {750};
// A plan is compared over this time from its start on; a later plan can load more.
constexpr double planHorizonMs = 1000;
// A slow rank stays slow for longer than the first plan after a shift has to last.
constexpr double slowRankHorizonMs = 3000;
// Duration of a pass while ranks load experts, relative to others.
constexpr double passTimeWhileCopying = 1.15;
// The loads allowed for a rank are tried at this fraction of the maximum, and doubled from there.
constexpr std::size_t smallestPlanDivisor = 4;

planner_limits limitsOf(const engine_profile &profile)
{
    const double copyMs = std::max(profile.expertCopyMs, 1.0);
    planner_limits limits;
    limits.slots = profile.expertSlots;
    limits.maxLoads = std::numeric_limits<std::size_t>::max();
    const auto loadsInTime = static_cast<std::size_t>(static_cast<double>(maxMapChangeCopyTime.count()) / copyMs);
    limits.maxLoadsPerRank =
        std::max<std::size_t>(1, std::min(loadsInTime, profile.spareExpertSlots * profile.expertLayers));
    limits.maxLoadsPerRankAndLayer = profile.spareExpertSlots;
    limits.minGainPerLoad = minMapChangeGainPerLoad;
    limits.storeBytesPerSecond = 1;
    return limits;
}

/** @returns the expected loading time of each rank, in ms. */
std::vector<double> copyTimesOf(const expert_map &from, const expert_map &to, const engine_profile &profile)
{
    std::vector<double> times;
    for (const std::size_t loads : loadsPerRank(from, to)) {
        times.push_back(static_cast<double>(loads) * profile.expertCopyMs * copyTimeMarginFactor);
    }
    return times;
}

/** @returns the expert work over the horizon, in units of the critical load times ms. */
double workOver(double horizonMs, double copyMs, double loadBefore, double loadAfter)
{
    return copyMs * passTimeWhileCopying * loadBefore + std::max(0.0, horizonMs - copyMs) * loadAfter;
}

boot_clock::duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(value));
}

map_change describe(const expert_map &current, expert_map map, const load_matrix &demand,
                    const std::vector<double> &speeds, const engine_profile &profile)
{
    map_change change;
    const auto loads = loadsPerRank(current, map);
    change.loads = std::accumulate(loads.begin(), loads.end(), std::size_t {0});
    for (const double copyMs : copyTimesOf(current, map, profile)) {
        change.copyTimes.push_back(fromMilliseconds(copyMs));
    }
    change.copyTime = *std::ranges::max_element(change.copyTimes);
    change.skewBefore = loadSkew(current, demand, speeds);
    change.skewAfter = loadSkew(map, demand, speeds);
    change.map = std::move(map);
    return change;
}

} // namespace

std::optional<map_change> planMapChange(const expert_map &current, const load_matrix &demand,
                                        const std::vector<double> &speeds, const engine_profile &profile)
{
    if (demand.layers != current.layers || demand.experts != current.experts) {
        return std::nullopt; // Counts of an engine with another model.
    }
    const planner_limits limits = limitsOf(profile);
    placement_search search(current, demand, speeds, limits);
    const double loadBefore = criticalLoad(current, demand, speeds);
    const bool slowRank = std::ranges::any_of(speeds, [](double speed) { return speed < 1.0; });
    const double horizonMs = slowRank ? slowRankHorizonMs : planHorizonMs;
    double leastWork = std::numeric_limits<double>::infinity();
    std::optional<expert_map> best;
    const std::size_t most = limits.maxLoadsPerRank;
    for (std::size_t allowed = std::max<std::size_t>(1, most / smallestPlanDivisor);;
         allowed = std::min(2 * allowed, most)) {
        search.run(allowed);
        expert_map map = search.map();
        const double loadAfter = criticalLoad(map, demand, speeds);
        const double work =
            workOver(horizonMs, std::ranges::max(copyTimesOf(current, map, profile)), loadBefore, loadAfter);
        if (loadAfter <= (1.0 - minMapChangeGainShare) * loadBefore && work < leastWork) {
            leastWork = work;
            best = std::move(map);
        }
        if (allowed == most) {
            break;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return describe(current, std::move(*best), demand, speeds, profile);
}

expert_map roundRobinMap(std::size_t layers, std::size_t experts, std::size_t ranks)
{
    expert_map map {layers, experts, ranks, {}};
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert) {
            map.copies.push_back({static_cast<std::uint16_t>(expert % ranks)});
        }
    }
    return map;
}

} // namespace bronzechute
