#pragma once

namespace bronzechute {

/** What a waiting caller's thread learns about the attempt under way. */
enum class attempt_progress {
    waiting, ///< Nothing new within the time of the wait.
    head, ///< Status and headers are there.
    refused, ///< Proved not run.
    failed, ///< Ended without a whole answer.
    lost, ///< The endpoint process is out of reach or another one has taken its place.
};

} // namespace bronzechute
