#pragma once

#include "balance/queue_summary.h"
#include "base/boot_clock.h"
#include "gateway/load_table.h"

#include <cstdint>
#include <map>
#include <string>

namespace bronzechute {

/** Newest load table of a hub, with the list and the queues that came with it or before it. */
struct kept_table
{
    std::string host; ///< Of the hub.
    load_table table; ///< Without list and queues.
    table_list list; ///< That the values of the table belong to.
    std::map<std::string, queue_summary> queues; ///< By service.
    std::uint64_t queuesIncluded = 0; ///< load_table::included of the table that brought them.
    time_point queuesAt {}; ///< When they came.
    std::uint64_t formerIncarnation = 0;
    time_point receivedAt {}; ///< The epoch while no table with a known list has arrived.
};

} // namespace bronzechute
