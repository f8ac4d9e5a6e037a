#pragma once

#include <cstdint>

namespace bronzechute {

/** Version of the protocol between processes. Processes with different versions do not connect to each other. */
constexpr std::uint32_t protocolVersion = 2;

/** Maximum frame size in bytes, excluding the length prefix. */
constexpr std::uint32_t maxFrameBytes = 4 * 1024 * 1024;

/** Identifies the kind of a frame in its first element. The values are part of the protocol. */
enum class frame_type : std::uint8_t {
    hello = 1,
    heartbeat = 2,
    config_push = 3,
    submit = 4,
    accepted = 5,
    refused = 6,
    response_head = 7,
    data = 8,
    end = 9,
    failed = 10,
    credit = 11,
    cancel = 12,
    cancelled = 13,
    resume = 14,
    session = 15,
    warm_pace = 16,
};

} // namespace bronzechute
