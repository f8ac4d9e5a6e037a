#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

namespace bronzechute {

/** Asks the endpoint to stop the attempt, or not to start it if it has not started. */
struct cancel_frame
{
    static constexpr frame_type type = frame_type::cancel;

    attempt_id id;

    friend bool operator==(const cancel_frame &, const cancel_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id)
};

} // namespace bronzechute
