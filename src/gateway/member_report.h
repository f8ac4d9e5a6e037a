#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzechute {

/** Load of a gateway, as it tells the hub of its data centre: complete, so that a later one makes up for a lost one. */
struct member_report
{
    std::uint64_t incarnation = 0; ///< Random id of the sending process.
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    std::string dataCentre;
    bool isCoordinator = false; ///< Whether the sender holds the coordinator lease.
    int gateways = 0; ///< That the sender knows, itself included.
    std::map<std::uint32_t, endpoint_load> loads; ///< By endpointKey(); idle endpoints are left out.
    std::optional<std::map<std::string, queue_summary>> queues; ///< By service; unchanged if absent.
    bool followsStore = false; ///< Whether the sender understands store_message; false for earlier versions.

    friend bool operator==(const member_report &, const member_report &) = default;
};

} // namespace bronzechute
