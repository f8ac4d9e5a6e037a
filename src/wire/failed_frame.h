#pragma once

#include "request/request_outcome.h"
#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <string>

MSGPACK_ADD_ENUM(bronzechute::request_outcome);

namespace bronzechute {

/** Reports that the attempt ended without a complete response. */
struct failed_frame
{
    static constexpr frame_type type = frame_type::failed;

    attempt_id id;
    request_outcome outcome = request_outcome::unknown; ///< not_run or unknown.
    std::string step; ///< The step of the error that ended the attempt.
    std::string detail;

    friend bool operator==(const failed_frame &, const failed_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, outcome, step, detail)
};

} // namespace bronzechute
