#pragma once

#include "base/boot_clock.h"
#include "policy/endpoint_status.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** What is known about one endpoint from all sources. */
struct member
{
    std::string name;
    std::string address; ///< Where to connect.
    bool inStaticList = false;
    bool inVmList = false;
    bool listedLeaving = false; ///< Last word of the VM list.
    bool leaving = false; ///< Some source said so about the present incarnation.
    bool leavingUnheard = false; ///< The VM list said so before any heartbeat was heard.
    bool connected = false; ///< The connection of the last heartbeat is open.
    std::uint64_t incarnation = 0; ///< Of the process that was last heard; 0: never heard.
    std::optional<time_point> heardAt; ///< Last heartbeat.
    time_point seenAt {}; ///< Last mention by any source.
    endpoint_status status; ///< From the last heartbeat.
    warm_pace warmPace; ///< Last known one; kept when the process, the engine or the VM is replaced.
};

} // namespace bronzechute
