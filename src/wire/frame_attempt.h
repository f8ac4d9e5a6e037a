#pragma once

#include "wire/frame.h"

#include <optional>

namespace bronzechute {

/** @returns the attempt that the frame is about, or nothing for a frame about the connection or the configuration. */
std::optional<attempt_id> attemptOf(const frame &message);

} // namespace bronzechute
