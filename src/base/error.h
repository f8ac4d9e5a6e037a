#pragma once

#include "base/error_code.h"

#include <string>

namespace bronzechute {

/**
 * An error together with where it arose.
 */
struct error
{
    std::error_code code; ///< What went wrong.
    std::string step; ///< The step that failed, for example "store.put".
    std::string peer; ///< The address or name of the other side; empty for a local step.
    std::string detail; ///< Free text for people.

    friend bool operator==(const error &, const error &) = default;

    /**
     * @returns one line of the form "step: message (peer): detail".
     */
    std::string toString() const;
};

} // namespace bronzechute
