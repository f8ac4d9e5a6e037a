#pragma once

#include "wire/frame_ids.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace bronzechute {

/** Carries a configuration that is newer than the peer's. */
struct config_push_frame
{
    static constexpr frame_type type = frame_type::config_push;

    std::int64_t revision = 0;
    std::string envelope; ///< A configuration_envelope as JSON.

    friend bool operator==(const config_push_frame &, const config_push_frame &) = default;

    MSGPACK_DEFINE_ARRAY(revision, envelope)
};

} // namespace bronzechute
