#pragma once

#include "expert_map/map_record.h"

#include <cstdint>
#include <optional>

namespace bronzechute {

/** A promise not to step past lastStep until the outcome of write `sequence` of the decision record is known. */
struct step_hold
{
    std::uint64_t sequence = 0;
    std::uint64_t lastStep = 0;
    map_id map = 0; ///< The map that the write commits, unless it aborts the attempt.

    friend bool operator==(const step_hold &, const step_hold &) = default;
};

/**
 * Protocol state kept by the engine of one rank. It survives a restart of the endpoint process, which reads it back,
 * and is lost when the engine stops. An engine that cannot report its hold must be restarted together with its endpoint
 * process.
 */
struct rank_engine_state
{
    std::uint64_t incarnation = 0; ///< Identifier of this start of the engine.
    bool joined = false; ///< Whether the decision record lists this incarnation as the rank's member.
    bool replaced = false; ///< Superseded by another incarnation, or contradicted by the record; never steps.
    std::uint64_t joinSequence = 0; ///< Sequence number of the record in which the join was first seen.
    std::uint64_t epoch = 0;
    map_id map = 0;
    map_id previousMap = 0;
    std::uint64_t firstStep = 0;
    std::uint64_t nextStep = 0; ///< The step that the engine enters next.
    map_id staged = 0; ///< The map whose weights are loaded beside the current one; 0: none.
    std::optional<step_hold> hold;

    friend bool operator==(const rank_engine_state &, const rank_engine_state &) = default;
};

} // namespace bronzechute
