#pragma once

#include "base/request_id.h"

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace bronzechute {

/** Identifies one dispatch of a request to one endpoint. */
struct attempt_id
{
    request_id request;
    std::uint32_t attempt = 0; ///< Starts at 1 and increases with each dispatch of the request.

    friend auto operator<=>(const attempt_id &, const attempt_id &) =
        default; // NOLINT(modernize-use-nullptr): false positive in the generated comparison

    MSGPACK_DEFINE_ARRAY(request.high, request.low, attempt)
};

} // namespace bronzechute
