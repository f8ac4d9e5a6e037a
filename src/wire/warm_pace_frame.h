#pragma once

#include "wire/frame_ids.h"

#include <msgpack.hpp>

namespace bronzechute {

/**
 * First frame of an entry to an endpoint process after hello: the warm speed that the entry last heard from any
 * process of this endpoint. A process that was started again measures its cold start against it.
 */
struct warm_pace_frame
{
    static constexpr frame_type type = frame_type::warm_pace;

    double tokenSeconds = 0; ///< As in warm_pace.
    double callSeconds = 0; ///< As in warm_pace.

    friend bool operator==(const warm_pace_frame &, const warm_pace_frame &) = default;

    MSGPACK_DEFINE_ARRAY(tokenSeconds, callSeconds)
};

} // namespace bronzechute
