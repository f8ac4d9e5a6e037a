#pragma once

namespace bronzechute {

/** Why the relay of an answer ended. */
enum class relay_end {
    delivered, ///< The caller received the complete answer.
    endpoint_failed, ///< The answer could not be completed.
    deadline, ///< The deadline of the request passed.
    client_disconnected, ///< The caller closed the connection; not a failure of the endpoint.
};

} // namespace bronzechute
