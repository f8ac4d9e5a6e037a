#pragma once

#include <chrono>
#include <random>

namespace bronzechute {

/**
 * Estimates the delay after which a refused caller should retry: the time to drain the queue, with a jitter of plus or
 * minus 25% so that refused callers do not retry at the same moment.
 *
 * @param queued number of waiting requests
 * @param limit maximum number of concurrent requests
 * @param meanServiceMs mean service time of a request; 0 when unknown
 * @returns whole seconds, the unit of the Retry-After header, from 1 to 60
 */
std::chrono::seconds retryAfterEstimate(int queued, int limit, double meanServiceMs, std::mt19937_64 &random);

} // namespace bronzechute
