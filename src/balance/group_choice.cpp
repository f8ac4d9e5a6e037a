#include "balance/group_choice.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Share of a group's limit that a level leaves to the more urgent ones. It covers what these send until the gateways
// have heard of each other's requests.
constexpr double reservedShare = 0.1;
constexpr double maxReservedShare = 0.3;

bool hasRoomInTime(const group_room &group, std::size_t level)
{
    if (!group.canBeInTime || !group.hasFreeSlot) {
        return false;
    }
    const double left = 1 - std::min(maxReservedShare, reservedShare * static_cast<double>(level));
    return !group.limit || (group.mayFill && group.running < *group.limit * left);
}

/** @returns for each group whether it takes requests beyond its limit. */
std::vector<bool> overflowGroups(std::span<const group_room> groups)
{
    std::vector<bool> chosen(groups.size(), false);
    auto left = std::ranges::count_if(groups, &group_room::serves) / 2;
    for (const bool canBeInTime : {false, true}) {
        for (std::size_t index = 0; index < groups.size(); ++index) {
            if (groups[index].serves && groups[index].canBeInTime == canBeInTime && (!canBeInTime || left > 0)) {
                chosen[index] = true;
                --left;
            }
        }
    }
    return chosen;
}

} // namespace

std::vector<bool> chooseGroups(std::span<const group_room> groups, std::size_t level)
{
    std::vector<bool> chosen(groups.size(), false);
    bool any = false;
    for (std::size_t index = 0; index < groups.size(); ++index) {
        chosen[index] = hasRoomInTime(groups[index], level);
        any = any || chosen[index];
    }
    if (any) {
        return chosen;
    }
    chosen = overflowGroups(groups);
    for (std::size_t index = 0; index < groups.size(); ++index) {
        chosen[index] = chosen[index] && groups[index].hasFreeSlot;
    }
    return chosen;
}

} // namespace bronzechute
