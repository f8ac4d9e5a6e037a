#pragma once

namespace bronzechute {

/** Exit codes of the program bronzechute; help/bronzechute.md documents them. */
enum class exit_code : int {
    done = 0,
    failed = 1, ///< The server refused the operation or failed in it.
    invalid_input = 2, ///< The command line or a document is invalid.
    conflict = 3, ///< Another change was made first.
    unreachable = 4, ///< The server did not respond; nothing was changed.
    unknown = 5, ///< The change may or may not have taken effect.
};

} // namespace bronzechute
