#pragma once

#include "store/store_changes.h"

#include <cstdint>
#include <optional>

namespace bronzechute {

/** What the gateway that watches the platform's store tells those that rely on it. */
struct store_message
{
    std::uint64_t incarnation = 0; ///< Random id of the sending process.
    std::uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    bool answering = false; ///< Whether the store answers the sender.
    bool settled = false; ///< Whether it has done so for long enough after its last outage.
    int ageMs = 0; ///< Time since the sender knew that the store had no change after the revision.
    std::int64_t revision = 0; ///< Store revision up to which the sender knows all changes.
    std::optional<store_changes> changes; ///< The last ones, or a part of them; absent if there is no news.

    friend bool operator==(const store_message &, const store_message &) = default;
};

} // namespace bronzechute
