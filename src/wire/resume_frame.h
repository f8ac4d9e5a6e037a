#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <cstdint>

namespace bronzechute {

/** Asks the endpoint to continue an attempt on a new connection. */
struct resume_frame
{
    static constexpr frame_type type = frame_type::resume;

    attempt_id id;
    std::uint64_t nextSequence = 0; ///< First data frame that the entry does not have.

    friend bool operator==(const resume_frame &, const resume_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, nextSequence)
};

} // namespace bronzechute
