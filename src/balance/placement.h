#pragma once

#include "balance/endpoint_view.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace bronzechute {

/**
 * Selects the endpoint for a request: the one with the lowest slot utilization plus a penalty for slow streams. Suspect
 * endpoints are selected only if no other has a free slot, and local endpoints are preferred to equal remote ones. Ties
 * are broken at random, so that gateways with the same view do not all select the same endpoint.
 *
 * @param endpoints endpoints of one service
 * @param overcommit number of requests beyond its slots that an endpoint may hold
 * @returns the index of the selected endpoint, or nothing when no usable endpoint has room
 */
std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random);

} // namespace bronzechute
