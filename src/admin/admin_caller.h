#pragma once

#include "config/operator_team.h"

namespace bronzechute {

/** The authenticated sender of a request to the administration API. */
struct admin_caller
{
    operator_team team; ///< Named "bootstrap" and with all permissions while no team is configured.
    bool bootstrap = false; ///< Whether no team is configured yet.

    friend bool operator==(const admin_caller &, const admin_caller &) = default;
};

} // namespace bronzechute
