#pragma once

#include "balance/group_room.h"

#include <cstddef>
#include <span>
#include <vector>

namespace bronzechute {

/**
 * Decides which rank groups of a service take a request. It answers the load pattern of more requests than all groups
 * together can run in time: divided evenly, they would make every stream of every group late at once.
 *
 * - A request goes to the groups that run fewer than their limit. Each level of lower urgency leaves some of that room
 *   to the more urgent ones.
 * - The rest goes beyond the limit of the groups in which streams are late anyway, and of the first ones in order up to
 *   half of the groups, whose slots it fills. So lateness is concentrated, and the others stay in time.
 * - When these are full, it waits or is refused.
 *
 * @param groups in an order that all gateways share, so that they agree on the groups without messages
 * @param level 0 for the most urgent requests, larger for less urgent ones
 * @returns for each group whether it takes the request
 */
std::vector<bool> chooseGroups(std::span<const group_room> groups, std::size_t level);

} // namespace bronzechute
