#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** State that the engine of one rank reports. */
struct rank_report
{
    std::string group;
    std::int64_t epoch = 0; ///< Increases each time the group forms again, with its initial map and nothing prepared.
    std::size_t rank = 0;
    std::size_t ranks = 0; ///< Number of ranks in the group.
    bool open = false; ///< Whether the group is operating.
    std::int64_t step = 0; ///< The last step that was begun.
    std::int64_t map = 0; ///< Map version in use.
    std::optional<std::int64_t> prepared; ///< Map version that is completely loaded and not in use yet.
    std::optional<std::int64_t> armed; ///< Map version that will be used from a later step on.
    std::optional<std::int64_t> held; ///< Step that the group must not begin before the hold is released.
    double pace = 1.0; ///< Slowdown factor of the machine: 1 is normal, larger values are slower.

    friend bool operator==(const rank_report &, const rank_report &) = default;
};

} // namespace bronzechute
