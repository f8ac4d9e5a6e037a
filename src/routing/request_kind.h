#pragma once

namespace bronzechute {

/** Retry semantics of a route's requests, as declared by the operators. They alone decide what may be repeated. */
enum class request_kind {
    idempotent, ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of the caller.
    streaming, ///< The response is an event stream; runs at most once unless the route is resumable.
};

} // namespace bronzechute
