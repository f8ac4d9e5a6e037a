#pragma once

#include "request/refusal_reason.h"
#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <cstdint>
#include <string>

MSGPACK_ADD_ENUM(bronzechute::refusal_reason);

namespace bronzechute {

/** Guarantees that the attempt was not executed and will not be. */
struct refused_frame
{
    static constexpr frame_type type = frame_type::refused;

    attempt_id id;
    refusal_reason reason = refusal_reason::overloaded;
    std::int64_t retryAfterMs = 0; ///< Suggested delay before a retry; 0 if unknown.
    std::string detail;

    friend bool operator==(const refused_frame &, const refused_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, reason, retryAfterMs, detail)
};

} // namespace bronzechute
