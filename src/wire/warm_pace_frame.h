#pragma once

#include "wire/frame_ids.h"

#include <msgpack.hpp>

namespace bronzechute {

/**
 * First frame that an entry sends to an endpoint process after hello. It carries the warm speed last reported by any
 * process of this endpoint, which a restarted process uses as the baseline for detecting that it is cold.
 */
struct warm_pace_frame
{
    static constexpr frame_type type = frame_type::warm_pace;

    double tokenSeconds = 0; ///< See warm_pace.
    double callSeconds = 0; ///< See warm_pace.

    friend bool operator==(const warm_pace_frame &, const warm_pace_frame &) = default;

    MSGPACK_DEFINE_ARRAY(tokenSeconds, callSeconds)
};

} // namespace bronzechute
