#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <cstdint>

namespace bronzechute {

/** Ends a complete response. */
struct end_frame
{
    static constexpr frame_type type = frame_type::end;

    attempt_id id;
    std::uint64_t frames = 0; ///< Number of data frames in the response.
    std::uint64_t bytes = 0; ///< Length of the body.
    std::uint64_t digest = 0; ///< XXH3-64 of the body.

    friend bool operator==(const end_frame &, const end_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, frames, bytes, digest)
};

} // namespace bronzechute
