#include "expert_map/placement_planner.h"

#include "expert_map/placement_search.h"

#include <numeric>

namespace bronzechute {

placement_plan planPlacement(const expert_map &current, const load_matrix &load, const std::vector<double> &speeds,
                             const planner_limits &limits)
{
    placement_search search(current, load, speeds, limits);
    search.run(limits.maxLoadsPerRank);
    placement_plan plan;
    plan.map = search.map();
    // Loads are counted from the difference of the maps: a copy that was moved away and back needs no load.
    for (const auto count : loadsPerRank(current, plan.map)) {
        plan.loads += count;
        plan.bytesPerRank.push_back(count * limits.expertBytes);
    }
    const auto bytes = std::accumulate(plan.bytesPerRank.begin(), plan.bytesPerRank.end(), std::uint64_t {0});
    plan.loadSeconds = bytes == 0 ? 0.0 : limits.queueSeconds + static_cast<double>(bytes) / limits.storeBytesPerSecond;
    plan.loadBefore = criticalLoad(current, load, speeds);
    plan.loadAfter = criticalLoad(plan.map, load, speeds);
    return plan;
}

} // namespace bronzechute
