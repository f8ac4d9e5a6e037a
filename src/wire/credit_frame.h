#pragma once

#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <cstdint>

namespace bronzechute {

/** Flow control: acknowledges the data frames that the entry has forwarded to the client. */
struct credit_frame
{
    static constexpr frame_type type = frame_type::credit;

    attempt_id id;
    std::uint64_t nextSequence = 0; ///< Data frames below this number need not be kept for a resume.

    friend bool operator==(const credit_frame &, const credit_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, nextSequence)
};

} // namespace bronzechute
