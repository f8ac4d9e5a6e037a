#pragma once

#include "base/boot_clock.h"

#include <string>

namespace bronzechute {

/** A prompt part whose requests are refused because it crashes the endpoints that answer them. */
struct quarantined_part
{
    std::string part;
    time_point since {}; ///< Starts of answers after this time prove that the part is sound.
    time_point until {}; ///< Single requests are tried again from then on.
    int convictions = 1; ///< Consecutive ones; each doubles the duration.

    friend bool operator==(const quarantined_part &, const quarantined_part &) = default;
};

} // namespace bronzechute
