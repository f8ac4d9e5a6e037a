#pragma once

#include "balance/gateway_fleet.h"

#include <optional>
#include <string_view>

namespace bronzechute {

/** Settings of a token bucket. */
struct rate_share
{
    double perSecond = 0;
    double burst = 0;

    friend bool operator==(const rate_share &, const rate_share &) = default;
};

/**
 * Ranks the gateways for a name by rendezvous hashing: gateways that know the same members agree on the order, and one
 * more or less member changes the rank of another by one at most.
 * @returns the rank of this gateway, from 0 to the number of members less one
 */
std::size_t gatewayRank(const gateway_fleet &fleet, std::string_view name);

/**
 * Determines this gateway's part of the rate that an endpoint tolerates while it is cold. Only the first gateways by
 * gatewayRank() get one, so few that each can send a whole request at once: a share of less than one request cannot be
 * sent, and a share that is rounded up exceeds the rate in sum.
 *
 * Where gateways know different members, each set of them selects its own holders. The rate of a holder is scaled by
 * the share of the gateways that it still knows, so that the rates of disjoint sets add up to little more than the
 * bound, and the slack of the bound covers their bursts.
 *
 * @param perSecond requests per second that the endpoint tolerates, of all gateways; positive
 * @returns nothing if the gateway must not send to the cold endpoint
 */
std::optional<rate_share> coldPermit(const gateway_fleet &fleet, std::string_view endpoint, double perSecond);

/** @returns the part of one of several gateways of the rate of an endpoint that is known to be warm. */
rate_share warmShare(int gateways, double perSecond);

/**
 * Determines this gateway's part of a whole number of permits for a period. Used with the rounding down of what each
 * gateway spends: the remainders of all gateways add up to whole permits, which those with the highest ranks get.
 *
 * @param total number for all gateways
 * @returns the part with a fraction, of which only the whole permits count
 */
double wholePermitShare(const gateway_fleet &fleet, std::string_view name, double total);

} // namespace bronzechute
