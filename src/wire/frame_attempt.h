#pragma once

#include "wire/frame.h"

#include <optional>

namespace bronzechute {

/** @returns the attempt that the frame belongs to, or std::nullopt for frames that do not belong to an attempt. */
std::optional<attempt_id> frameAttemptId(const frame &message);

} // namespace bronzechute
