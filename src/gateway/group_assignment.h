#pragma once

#include "balance/endpoint_view.h"
#include "balance/pass_latency_model.h"
#include "gateway/endpoint_group.h"

#include <cstddef>
#include <span>

namespace bronzechute {

/** An endpoint of a rank group, as far as it decides what the group takes. */
struct group_member
{
    endpoint_group *group = nullptr;
    bool serves = true; ///< Whether it accepts requests, now or once a slot is free.
    bool hasFreeSlot = true; ///< Whether it takes the present request.
};

/**
 * Decides which rank groups of a service take requests of which urgency, see chooseGroups(), and writes changes of
 * their limits to the log.
 *
 * @param groups of the service, in an order that all gateways share
 * @param members all endpoints of the groups
 * @param levels number of levels of urgency
 * @param share of this gateway in the requests of all gateways
 */
void assignRequests(std::span<endpoint_group *const> groups, std::span<const group_member> members,
                    const pass_latency_model &model, std::size_t levels, double share, time_point now);

} // namespace bronzechute
