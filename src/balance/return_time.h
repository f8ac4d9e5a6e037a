#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <random>

namespace bronzechute {

/** Why a request is refused, as far as it tells when a further try may succeed. */
enum class refusal_cause {
    overloaded, ///< The endpoints work; those ahead in line need the expected wait.
    unavailable, ///< No endpoint works; how long that lasts is not known.
};

/**
 * Decides when a refused caller is told to return. It has one further try and gets its answer late in any case, so the
 * return is put where it most probably succeeds: after the expected wait in overload, and as late as the caller still
 * returns while no endpoint works. Returns are spread so that they do not arrive together.
 *
 * @param expectedWait of the line ahead; zero when unknown
 * @param latest the caller returns after this time at the latest
 */
std::chrono::milliseconds returnAfter(refusal_cause cause, boot_clock::duration expectedWait,
                                      boot_clock::duration latest, std::mt19937_64 &random);

} // namespace bronzechute
