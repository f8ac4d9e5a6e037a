#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <cstdint>
#include <string>

namespace bronzechute {

/** A block of the response body. */
struct data_frame
{
    static constexpr frame_type type = frame_type::data;

    attempt_id id;
    std::uint64_t sequence = 0; ///< Starts at 0 and increases by one with each frame.
    std::string bytes;

    friend bool operator==(const data_frame &, const data_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, sequence, bytes)
};

} // namespace bronzechute
