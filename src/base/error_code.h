#pragma once

#include <system_error>

namespace bronzechute {

/**
 * Error conditions of this project. The numeric values are stable because they appear in logs.
 */
enum class errc {
    invalid_argument = 1, ///< A value from a caller, an operator or a file is malformed.
    not_found, ///< The requested object does not exist.
    conflict, ///< A compare-and-swap found a version other than the expected one.
    unavailable, ///< The peer cannot be reached or refused the connection.
    timed_out, ///< The peer did not answer within the deadline.
    outcome_unknown, ///< The operation may or may not have taken effect.
    protocol_violation, ///< The peer sent something that the protocol does not allow.
    overloaded, ///< A limit was reached; the operation was not started.
    cancelled, ///< The operation was cancelled before it finished.
    permission_denied, ///< The credentials do not allow the operation.
    too_large, ///< A message or a value exceeds its size limit.
    stale, ///< A revision, epoch or fencing token is older than the current one.
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
