#pragma once

#include "base/error_code.h"

#include <string>

namespace bronzechute {

/**
 * An error code with the operation and the peer for which it occurred.
 */
struct error
{
    std::error_code code; ///< Error condition.
    std::string step; ///< Operation that failed, for example "store.put".
    std::string peer; ///< Address or name of the remote peer; empty for a local operation.
    std::string detail; ///< Human-readable details; may be empty.

    friend bool operator==(const error &, const error &) = default;

    /**
     * @returns one line of the form "step: message (peer): detail".
     */
    std::string toString() const;
};

} // namespace bronzechute
