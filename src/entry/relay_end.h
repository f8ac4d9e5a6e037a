#pragma once

namespace bronzechute {

/** Why the relay of an answer ended. */
enum class relay_end {
    whole, ///< The caller was given the whole answer.
    endpoint_failed, ///< The answer could not become whole.
    deadline, ///< The deadline of the request passed.
    caller_left, ///< The caller closed the connection; says nothing about the endpoint.
};

} // namespace bronzechute
