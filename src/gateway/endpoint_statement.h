#pragma once

#include "base/boot_clock.h"
#include "gateway/response_head.h"
#include "gateway/wire_headers.h"

#include <chrono>
#include <optional>

namespace bronzechute {

/** What the head of a response says about the endpoint that sent it. */
struct endpoint_statement
{
    bool leaving = false; ///< It finishes what it runs and wants no further requests.
    std::optional<std::chrono::milliseconds> pause; ///< It wants nothing from this gateway for so long.
    bool ignoredPause = false; ///< The head has a pause that is not a number of seconds above 0.

    friend bool operator==(const endpoint_statement &, const endpoint_statement &) = default;
};

/** A longer pause is not plausible and counts as this one. */
constexpr std::chrono::hours maxEndpointPause {24};

/**
 * Reads the statement of a response. A pause is only read from a refusal with status 503: seconds, whole or with a
 * fraction. Of several pauses the longest counts. A date or any other text is ignored.
 */
endpoint_statement readStatement(const response_head &head, const wire_headers &names);

} // namespace bronzechute
