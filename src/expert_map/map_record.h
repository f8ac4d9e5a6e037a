#pragma once

#include <cstdint>
#include <vector>

namespace bronzechute {

using map_id = std::uint64_t; ///< Digest of an expert map's content; 0 means no map.

/**
 * The decision record of a rank group, the only durable state of the switching protocol.
 *
 * Each accepted write increments the sequence by one and is conditional on the sequence that its writer has read, so
 * a write of sequence n happens at most once. Fencing number and decision share one value: a decision of a coordinator
 * that has been superseded cannot be accepted.
 */
struct map_record
{
    std::uint64_t sequence = 0; ///< Number of writes so far.
    std::uint64_t fence = 0; ///< Fencing number of the coordinator in charge.
    std::uint64_t owner = 0; ///< Random identifier of that coordinator's process.
    std::uint64_t epoch = 0; ///< Number of map changes committed so far.
    map_id map = 0; ///< Map of steps from firstStep on.
    map_id previousMap =
        0; ///< Map of steps before firstStep; a replaced rank needs it when the group is not there yet.
    std::uint64_t firstStep = 0; ///< First step that uses the map.
    std::vector<std::uint64_t> members; ///< Engine incarnation of each rank; 0 means none has joined.

    friend bool operator==(const map_record &, const map_record &) = default;
    friend auto operator<=>(const map_record &, const map_record &) = default;
};

} // namespace bronzechute
