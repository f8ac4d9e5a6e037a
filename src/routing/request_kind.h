#pragma once

namespace bronzechute {

/** What the operators declare of a route's requests; it alone decides what may be repeated. */
enum class request_kind {
    idempotent, ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of the caller.
    streaming, ///< Answers with events; runs at most once unless the route is resumable.
};

} // namespace bronzechute
