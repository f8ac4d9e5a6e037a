#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute {

/** What the engine of a rank says of itself. */
struct rank_report
{
    std::string group;
    std::int64_t epoch = 0; ///< Rises each time the group forms anew, with its first map and nothing prepared.
    std::size_t rank = 0;
    std::size_t ranks = 0; ///< Of the group.
    bool open = false; ///< Whether the group works.
    std::int64_t step = 0; ///< The last one that was begun.
    std::int64_t map = 0; ///< Version in use.
    std::optional<std::int64_t> prepared; ///< Version that is loaded whole and not in use yet.
    std::optional<std::int64_t> armed; ///< Version that will be used from a later step on.
    std::optional<std::int64_t> held; ///< Step that the group must not begin before it is released.
    double pace = 1.0; ///< Over 1: the machine is slow.

    friend bool operator==(const rank_report &, const rank_report &) = default;
};

} // namespace bronzechute
