#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

namespace bronzechute {

/** Sent by the endpoint when it has passed the request to the engine or service. */
struct accepted_frame
{
    static constexpr frame_type type = frame_type::accepted;

    attempt_id id;

    friend bool operator==(const accepted_frame &, const accepted_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id)
};

} // namespace bronzechute
