#pragma once

#include <chrono>
#include <random>

namespace bronzechute {

/**
 * Estimates when a refused caller can expect to be served: the time to work off the queue, spread by a quarter up and
 * down so that refused callers do not return at the same moment.
 *
 * @param queued requests that wait
 * @param limit requests that run at the same time
 * @param meanServiceMs mean time of one request; 0 when unknown
 * @returns whole seconds from 1 to 60, the unit of the Retry-After header.
 */
std::chrono::seconds retryAfterEstimate(int queued, int limit, double meanServiceMs, std::mt19937_64 &random);

} // namespace bronzechute
