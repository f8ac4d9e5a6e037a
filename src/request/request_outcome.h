#pragma once

#include <string_view>

namespace bronzechute {

/** How a request ended. Every request ends as exactly one of these. */
enum class request_outcome {
    answered, ///< The caller has the whole answer.
    not_run, ///< Proved: no back end ran it or will run it.
    unknown, ///< A back end may have run it, wholly or in part.
};

/** @returns the value of the X-Bronzechute-Outcome header. */
std::string_view toString(request_outcome outcome);

} // namespace bronzechute
