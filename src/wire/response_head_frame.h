#pragma once

#include "http/header_list.h"
#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

namespace bronzechute {

/** Status and headers of the response. */
struct response_head_frame
{
    static constexpr frame_type type = frame_type::response_head;

    attempt_id id;
    int status = 0;
    header_list headers;

    friend bool operator==(const response_head_frame &, const response_head_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, status, headers)
};

} // namespace bronzechute
