#pragma once

#include "expert_map/map_record.h"

#include <cstddef>
#include <cstdint>

namespace bronzechute {

enum class switch_message_kind : std::uint8_t {
    stage, ///< Coordinator to rank: load the map's weights beside the current ones.
    staged, ///< Rank to coordinator: the weights are loaded; step is the rank's next step.
    promise_request, ///< Coordinator to rank: do not step past `step` before the write `sequence` is known.
    promise, ///< Rank to coordinator: the promise is given, or refused with a reason; step is the rank's next step.
    go, ///< Coordinator to rank: `record` commits the map.
    abort, ///< Coordinator to rank: `record` ends the attempt without a new map.
};

enum class promise_refusal : std::uint8_t {
    none, ///< The promise is given.
    fence_unknown, ///< The endpoint process has restarted and not yet learned the fencing number.
    stale_fence, ///< A coordinator with a higher fencing number is in charge.
    not_joined, ///< The engine has not joined on the current map.
    stale_sequence, ///< The attempt is already decided, or a newer one was promised.
    other_epoch, ///< The rank has not learned the decision before this attempt.
    switch_pending, ///< The previous map change takes effect at a later step.
    not_staged, ///< The weights are not loaded.
    too_late, ///< The rank is already past the requested step.
};

/**
 * A message of the map switching protocol. Fields that a kind does not use stay at their default.
 */
struct switch_message
{
    switch_message_kind kind = switch_message_kind::stage;
    std::size_t rank = 0; ///< The rank that sends or receives it.
    std::uint64_t incarnation = 0; ///< Sender's engine incarnation (staged, promise).
    std::uint64_t fence = 0; ///< Fencing number of the coordinator (stage, promise_request and their replies).
    std::uint64_t sequence = 0; ///< The write that decides the attempt (promise_request, promise).
    std::uint64_t epoch = 0; ///< The epoch that the attempt starts from (promise_request).
    map_id map = 0; ///< The new map.
    std::uint64_t step = 0; ///< See the kinds.
    promise_refusal refusal = promise_refusal::none; ///< promise only.
    map_record record; ///< go, abort.

    friend bool operator==(const switch_message &, const switch_message &) = default;
    friend auto operator<=>(const switch_message &, const switch_message &) = default;
};

} // namespace bronzechute
