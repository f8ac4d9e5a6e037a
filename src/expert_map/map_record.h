#pragma once

#include <cstdint>
#include <vector>

namespace bronzechute {

using map_id = std::uint64_t; ///< Digest of an expert map's content; 0 means no map.

/**
 * The decision record of a rank group, the only durable state of the map switching protocol.
 *
 * Each accepted write increments the sequence number by one and is conditional on the number that its writer has read,
 * so at most one write with a given sequence number is accepted. The fencing number and the decision are in one value,
 * so the store cannot accept a decision of a superseded coordinator.
 */
struct map_record
{
    std::uint64_t sequence = 0; ///< Number of writes so far.
    std::uint64_t fence = 0; ///< Fencing number of the coordinator in charge.
    std::uint64_t owner = 0; ///< Random identifier of that coordinator's process.
    std::uint64_t epoch = 0; ///< Number of map changes committed so far.
    map_id map = 0; ///< Map that is used from firstStep on.
    /** Map that is used before firstStep; a replacement rank needs it if the group has not reached firstStep yet. */
    map_id previousMap = 0;
    std::uint64_t firstStep = 0; ///< First step that uses the map.
    std::vector<std::uint64_t> members; ///< Engine incarnation of each rank; 0 if none has joined.

    friend bool operator==(const map_record &, const map_record &) = default;
    friend auto operator<=>(const map_record &, const map_record &) = default;
};

} // namespace bronzechute
