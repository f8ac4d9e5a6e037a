#include "expert_map/map_change.h"

#include "expert_map/placement_planner.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace bronzechute {

namespace {

// Minimum decrease of the critical load that outweighs the cost of the loads and commands of a change.
constexpr double minMapChangeGainShare = 0.12;
constexpr double minMapChangeGainPerLoad = 0.05;
constexpr double copyTimeMarginFactor = 1.1;
constexpr std::chrono::milliseconds maxMapChangeCopyTime {750};

planner_limits limitsOf(const engine_profile &profile)
{
    const double copyMs = std::max(profile.expertCopyMs, 1.0);
    planner_limits limits;
    limits.slots = profile.expertSlots;
    limits.maxLoads = std::numeric_limits<std::size_t>::max();
    limits.maxLoadsPerRank =
        std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(maxMapChangeCopyTime.count()) / copyMs));
    limits.maxLoadsPerRankAndLayer = profile.spareExpertSlots;
    limits.minGainPerLoad = minMapChangeGainPerLoad;
    limits.storeBytesPerSecond = 1;
    return limits;
}

} // namespace

std::optional<map_change> planMapChange(const expert_map &current, const load_matrix &demand,
                                        const std::vector<double> &speeds, const engine_profile &profile)
{
    if (demand.layers != current.layers || demand.experts != current.experts) {
        return std::nullopt; // Counts of an engine with another model.
    }
    placement_plan plan = planPlacement(current, demand, speeds, limitsOf(profile));
    const double gain = plan.loadBefore > 0 ? 1.0 - plan.loadAfter / plan.loadBefore : 0.0;
    if (gain < minMapChangeGainShare) {
        return std::nullopt;
    }
    const auto loads = loadsPerRank(current, plan.map);
    const double copyMs =
        static_cast<double>(*std::ranges::max_element(loads)) * profile.expertCopyMs * copyTimeMarginFactor;
    map_change change;
    change.loads = plan.loads;
    change.copyTime =
        std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(copyMs));
    change.skewBefore = loadSkew(current, demand, speeds);
    change.skewAfter = loadSkew(plan.map, demand, speeds);
    change.map = std::move(plan.map);
    return change;
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
