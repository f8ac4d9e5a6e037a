#pragma once

#include "expert_map/map_record.h"

#include <cstdint>
#include <optional>

namespace bronzechute {

/** A promise not to step past lastStep before the write `sequence` of the decision record is known. */
struct step_hold
{
    std::uint64_t sequence = 0;
    std::uint64_t lastStep = 0;
    map_id map = 0; ///< The map that the write commits if it commits one.

    friend bool operator==(const step_hold &, const step_hold &) = default;
};

/**
 * What the engine of one rank holds: it survives a restart of the endpoint process, which reads it back, and is lost
 * with the engine. An engine that cannot report its hold must be restarted together with its endpoint process.
 */
struct rank_engine_state
{
    std::uint64_t incarnation = 0; ///< Engine start id.
    bool joined = false; ///< Whether the record names this incarnation as the member for the rank.
    bool replaced = false; ///< Another incarnation took the rank's place, or the record contradicts it: never steps.
    std::uint64_t joinSequence = 0; ///< The record's sequence when the join was seen.
    std::uint64_t epoch = 0;
    map_id map = 0;
    map_id previousMap = 0;
    std::uint64_t firstStep = 0;
    std::uint64_t nextStep = 0; ///< The step that the engine enters next.
    map_id staged = 0; ///< The map whose weights are loaded beside the current one.
    std::optional<step_hold> hold;

    friend bool operator==(const rank_engine_state &, const rank_engine_state &) = default;
};

} // namespace bronzechute
