#pragma once

#include "balance/endpoint_view.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace bronzechute {

/**
 * Selects the endpoint for a request: the least share of slots taken, weighed by the pace of its streams; suspects only
 * when nothing else has a free slot. Equal ones are chosen at random, the local data centre first, so that gateways
 * with the same view do not all choose alike.
 *
 * @param endpoints of one service
 * @param overcommit requests beyond its slots that an endpoint may hold
 * @returns an index, or nothing when no usable endpoint has room
 */
std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random);

} // namespace bronzechute
