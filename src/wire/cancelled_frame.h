#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

namespace bronzechute {

/** Reply to a cancel_frame. If the attempt had not started, it is guaranteed never to start. */
struct cancelled_frame
{
    static constexpr frame_type type = frame_type::cancelled;

    attempt_id id;
    bool started = false;

    friend bool operator==(const cancelled_frame &, const cancelled_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, started)
};

} // namespace bronzechute
