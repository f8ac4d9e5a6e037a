#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Record of whether the endpoints of a service respond. */
struct service_health
{
    int failures = 0; ///< Attempts without a response since the last response.
    time_point respondedAt {}; ///< Last response or event of a stream.

    friend bool operator==(const service_health &, const service_health &) = default;
};

} // namespace bronzechute
