#pragma once

#include "wire/frame_ids.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace bronzechute {

/** The first frame in each direction. It identifies the sender. */
struct hello_frame
{
    static constexpr frame_type type = frame_type::hello;

    std::uint32_t version = protocolVersion;
    std::string node;
    std::uint64_t incarnation = 0; ///< Random value generated at process start.
    std::string role; ///< "entry" or "endpoint".
    std::string dataCentre;
    std::int64_t revision = 0; ///< Revision of the sender's active configuration.
    std::int64_t clockMs = 0; ///< The sender's boot_clock.

    friend bool operator==(const hello_frame &, const hello_frame &) = default;

    MSGPACK_DEFINE_ARRAY(version, node, incarnation, role, dataCentre, revision, clockMs)
};

} // namespace bronzechute
