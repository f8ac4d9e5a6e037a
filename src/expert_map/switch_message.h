#pragma once

#include "expert_map/map_record.h"

#include <cstddef>
#include <cstdint>

namespace bronzechute {

enum class switch_message_kind : std::uint8_t {
    stage, ///< Coordinator to rank: load the weights of the map beside the current ones.
    staged, ///< Rank to coordinator: the weights are loaded; `step` is the rank's next step.
    promise_request, ///< Coordinator to rank: do not step past `step` until the outcome of write `sequence` is known.
    promise, ///< Rank to coordinator: the promise is given or refused; `step` is the rank's next step.
    commit, ///< Coordinator to rank: `record` commits the map.
    abort, ///< Coordinator to rank: `record` ends the attempt without a new map.
};

enum class promise_refusal : std::uint8_t {
    none, ///< The promise is given.
    fence_unknown, ///< The endpoint process has restarted and has not read the fencing number yet.
    stale_fence, ///< A coordinator with a higher fencing number is in charge.
    not_joined, ///< The engine has not joined the group, or was replaced.
    stale_sequence, ///< The attempt is already decided, or a promise for a newer one was given.
    other_epoch, ///< The rank does not know the decision that precedes this attempt.
    switch_pending, ///< The previous map change has not taken effect yet.
    not_staged, ///< The weights are not loaded.
    too_late, ///< The rank is already past the requested step.
};

/** A message of the map switching protocol. Fields that a kind does not use keep their default value. */
struct switch_message
{
    switch_message_kind kind = switch_message_kind::stage;
    std::size_t rank = 0; ///< The sending or receiving rank.
    std::uint64_t incarnation = 0; ///< Engine incarnation of the sending rank (staged, promise).
    std::uint64_t fence = 0; ///< Fencing number of the coordinator (stage, promise_request and their replies).
    std::uint64_t sequence = 0; ///< Sequence number of the write that decides the attempt (promise_request, promise).
    std::uint64_t epoch = 0; ///< Epoch before the attempt (promise_request), or the rank's epoch (promise).
    map_id map = 0; ///< The new map.
    std::uint64_t step = 0; ///< Meaning depends on the kind; see switch_message_kind.
    promise_refusal refusal = promise_refusal::none; ///< Only for promise.
    map_record record; ///< The decision (commit, abort).

    friend bool operator==(const switch_message &, const switch_message &) = default;
    friend auto operator<=>(const switch_message &, const switch_message &) = default;
};

} // namespace bronzechute
