#pragma once

namespace bronzechute {

/** State of the current attempt, as reported to the thread that waits for it. */
enum class attempt_progress {
    waiting, ///< No change before the wait timed out.
    head, ///< Status and headers have arrived.
    refused, ///< The endpoint confirmed that the attempt did not run.
    failed, ///< Ended without a complete answer.
    lost, ///< The endpoint process is unreachable or was replaced by a new one.
};

} // namespace bronzechute
