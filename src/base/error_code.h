#pragma once

#include <system_error>

namespace bronzechute {

/**
 * Conditions that the project's own code reports. Values are stable: they appear in logs.
 */
enum class errc {
    invalid_argument = 1, ///< A value from a caller, an operator or a file is malformed.
    not_found, ///< The named thing does not exist.
    conflict, ///< A compare-and-swap found another version than expected.
    unavailable, ///< The peer cannot be reached or refused the connection.
    timed_out, ///< The peer did not answer within the deadline.
    outcome_unknown, ///< The operation may or may not have taken effect.
    protocol_violation, ///< The peer sent something that the protocol does not allow.
    overloaded, ///< A limit was reached; nothing was run.
    cancelled, ///< The operation was cancelled before it finished.
    permission_denied, ///< The credentials do not allow the operation.
    too_large, ///< A message or a value exceeds its size limit.
    stale, ///< A revision, an epoch or a fencing number is older than the one held.
};

/**
 * @returns the error category of bronzechute::errc.
 */
const std::error_category &bronzechuteCategory() noexcept;

std::error_code make_error_code(errc code) noexcept;

} // namespace bronzechute

template<>
struct std::is_error_code_enum<bronzechute::errc> : std::true_type
{
};
