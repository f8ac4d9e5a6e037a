#pragma once

#include "policy/endpoint_status.h"
#include "wire/endpoint_status_codec.h"
#include "wire/frame_ids.h"

#include <cstdint>
#include <optional>

namespace bronzechute {

/** Sent periodically in both directions, so that the receiver can detect a dead connection. */
struct heartbeat_frame
{
    static constexpr frame_type type = frame_type::heartbeat;

    std::uint64_t sequence = 0;
    std::int64_t revision = 0; ///< Revision of the sender's active configuration.
    std::int64_t clockMs = 0; ///< The sender's boot_clock.
    std::optional<endpoint_status> status; ///< Set only by endpoint processes.

    friend bool operator==(const heartbeat_frame &, const heartbeat_frame &) = default;

    MSGPACK_DEFINE_ARRAY(sequence, revision, clockMs, status)
};

} // namespace bronzechute
