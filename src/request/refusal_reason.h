#pragma once

#include <string_view>

namespace bronzechute {

/** Reason why an endpoint process refused a request. The values are part of the wire protocol. */
enum class refusal_reason {
    overloaded = 1, ///< The queue is full or the wait would exceed the deadline.
    leaving = 2, ///< The endpoint process is shutting down.
    out_of_service = 3, ///< Operators took the data centre or the endpoint out of service.
    not_ready = 4, ///< The engine does not answer.
    expired = 5, ///< The queue timeout or the deadline passed before the request was started.
    cancelled = 6, ///< The attempt was cancelled before it arrived or started.
    unreachable = 7, ///< The engine refused the connection.
};

std::string_view toString(refusal_reason reason);

} // namespace bronzechute
