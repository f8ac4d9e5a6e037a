#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Whether a gateway gets answers from the endpoints of a service. */
struct service_health
{
    int failures = 0; ///< Attempts without an answer since the last answer.
    time_point answeredAt {}; ///< Last answer, or last event of a stream.

    friend bool operator==(const service_health &, const service_health &) = default;
};

} // namespace bronzechute
