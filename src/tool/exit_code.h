#pragma once

namespace bronzechute {

/** Exit codes of the program bronzechute; help/bronzechute.md documents them. */
enum class exit_code : int {
    done = 0,
    failed = 1, ///< The server refused the operation or failed in it.
    invalid_input = 2, ///< Wrong usage, or an invalid document.
    conflict = 3, ///< Another change came first.
    unreachable = 4, ///< No answer from the server; nothing was changed.
    unknown = 5, ///< The change may or may not have taken effect.
};

} // namespace bronzechute
