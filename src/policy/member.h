#pragma once

#include "base/boot_clock.h"
#include "policy/endpoint_status.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** Combined information about one endpoint from the VM list, the static list and its heartbeats. */
struct member
{
    std::string name;
    std::string address; ///< Address to connect to.
    bool inStaticList = false;
    bool inVmList = false;
    bool listedLeaving = false; ///< Whether the latest VM list marks it as leaving.
    bool leaving = false; ///< Whether any source has reported the current incarnation as leaving.
    bool leavingBeforeHeartbeat = false; ///< Whether the VM list reported leaving before the first heartbeat.
    bool connected = false; ///< Whether the connection of the last heartbeat is open.
    std::uint64_t incarnation = 0; ///< Process that sent the last heartbeat; 0: none received.
    std::optional<time_point> heardAt; ///< Time of the last heartbeat.
    time_point lastMentionedAt {}; ///< When any source last mentioned it.
    endpoint_status status; ///< From the last heartbeat.
    warm_pace warmPace; ///< Last known warm speed; kept when the process, the engine or the VM is replaced.
};

} // namespace bronzechute
