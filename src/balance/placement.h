#pragma once

#include "balance/endpoint_view.h"
#include "balance/placement_cost.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace bronzechute {

/**
 * Selects the endpoint for a request: the one with the lowest slot utilization plus a penalty for slow streams. Suspect
 * endpoints are selected only if no other has a free slot, and local endpoints are preferred to equal remote ones. Ties
 * are broken at random, so that gateways with the same view do not all select the same endpoint.
 *
 * While other gateways place requests that this one cannot see, the endpoint is drawn at random by its share of these
 * requests, see placementShares(): then the draws of all gateways together fill the endpoints evenly.
 *
 * @param endpoints endpoints of one service
 * @param overcommit number of requests beyond its slots that an endpoint may hold
 * @param concurrent expected number of requests that are placed by all gateways on the same knowledge
 * @returns the index of the selected endpoint, or nothing when no usable endpoint has room
 */
std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random, double concurrent = 0);

/** @returns the cost of a request at each endpoint, by which placeRequest() compares them. */
std::vector<placement_cost> placementCosts(std::span<const endpoint_view> endpoints);

/**
 * Divides requests over the endpoints so that the highest cost among those that get any is as low as possible.
 *
 * @param requests number of requests, which may be a fraction
 * @returns the expected number for each endpoint; their sum is `requests` if any endpoint has room, otherwise 0
 */
std::vector<double> placementShares(std::span<const endpoint_view> endpoints, int overcommit, double requests);

} // namespace bronzechute
