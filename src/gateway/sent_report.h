#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"
#include "base/boot_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace bronzechute {

/** A report that this gateway sent, by which its part in a sum of a hub is known. */
struct sent_report
{
    std::uint64_t sequence = 0;
    time_point at {};
    std::map<std::uint32_t, endpoint_load> loads; ///< By endpointKey().
    std::map<std::string, queue_summary> queues; ///< By service.
};

} // namespace bronzechute
