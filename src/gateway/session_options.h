#pragma once

#include "routing/caller_limits.h"

namespace bronzechute {

/** Options of caller sessions; read for each request, so that changes apply to open connections. */
class session_options
{
public:
    virtual ~session_options() = default;

    /** @returns the current limits. */
    virtual caller_limits limits() const = 0;

    /** @returns whether connections are closed after their current request. */
    virtual bool closing() const = 0;
};

} // namespace bronzechute
