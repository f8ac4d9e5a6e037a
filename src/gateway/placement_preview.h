#pragma once

#include "base/boot_clock.h"
#include "gateway/placement_client.h"

#include <cstddef>
#include <optional>

namespace bronzechute {

/** What request_dispatcher::submit() would do with a request now. */
struct placement_preview
{
    std::optional<refusal> refused; ///< Nothing if the request would be placed or queued.
    bool isQueued = false; ///< It would wait for a free slot.
    std::size_t ahead = 0; ///< Queued requests that would be dispatched before it.
    boot_clock::duration expectedWait {}; ///< Until it starts, or until there is room; zero if unknown.

    friend bool operator==(const placement_preview &, const placement_preview &) = default;
};

} // namespace bronzechute
