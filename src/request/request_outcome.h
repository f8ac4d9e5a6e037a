#pragma once

#include <string_view>

namespace bronzechute {

/** How a request ended. Every request has exactly one outcome. */
enum class request_outcome {
    answered, ///< The caller received the complete answer.
    not_run, ///< It is certain that no back end has run the request or will run it.
    unknown, ///< A back end may have run the request completely or in part.
};

/** @returns the value of the X-Bronzechute-Outcome header. */
std::string_view toString(request_outcome outcome);

} // namespace bronzechute
