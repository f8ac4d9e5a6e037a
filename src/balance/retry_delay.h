#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <random>

namespace bronzechute {

/** Why a request is refused; determines when a retry is likely to succeed. */
enum class refusal_cause {
    overloaded, ///< The endpoints work, but the queue is too long.
    unavailable, ///< No endpoint works; the length of the outage is unknown.
};

/**
 * Computes the delay after which a refused caller should retry. The caller has one retry and its response will be late
 * in any case, so the delay is the one with the best chance of success: the expected wait during overload, and the
 * longest possible delay while no endpoint works and nothing is known about the end of that. Jitter keeps the retries
 * from arriving together; it lies behind a known end, and before any other time.
 *
 * @param expectedWait expected wait in the queue, or until an endpoint works; zero when unknown
 * @param latest longest delay after which the caller still retries
 */
std::chrono::milliseconds retryDelay(refusal_cause cause, boot_clock::duration expectedWait,
                                     boot_clock::duration latest, std::mt19937_64 &random);

} // namespace bronzechute
