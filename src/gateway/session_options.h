#pragma once

#include "routing/caller_limits.h"

namespace bronzechute {

/** How a listener treats its callers; read anew for each request. */
class session_options
{
public:
    virtual ~session_options() = default;

    /** @returns the limits in force. */
    virtual caller_limits limits() const = 0;

    /** @returns whether connections are closed after the request under way. */
    virtual bool closing() const = 0;
};

} // namespace bronzechute
