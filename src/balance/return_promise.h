#pragma once

#include "balance/return_outlook.h"
#include "base/boot_clock.h"

#include <random>

namespace bronzechute {

/** When a refused caller should come back. */
struct return_promise
{
    std::chrono::milliseconds delay {};
    bool hasRoom = false; ///< Whether a start is expected to be left for it then.

    friend bool operator==(const return_promise &, const return_promise &) = default;
};

/**
 * Chooses the first interval in which a caller finds room soon after its return, given what all gateways have promised
 * before it. If there is none, it chooses the interval with the fewest promised returns of the later half, the last one
 * among equals: the load has the most time to fall, and the callers are spread.
 *
 * @param earliest time until the present queue is served
 * @param latest longest delay after which the caller still comes back
 */
return_promise promiseReturn(const return_outlook &outlook, boot_clock::duration earliest, boot_clock::duration latest,
                             std::mt19937_64 &random);

} // namespace bronzechute
