#pragma once

#include "config/operator_team.h"

namespace bronzechute {

/** Who sent a request to the administration API. */
struct admin_caller
{
    operator_team team; ///< With name "bootstrap" and every right while no team is configured.
    bool bootstrap = false; ///< No team is configured yet.

    friend bool operator==(const admin_caller &, const admin_caller &) = default;
};

} // namespace bronzechute
