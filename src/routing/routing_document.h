#pragma once

#include "routing/caller_limits.h"
#include "routing/keyed_account.h"
#include "routing/route.h"
#include "routing/routed_service.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/** One validated version of the operators' routing configuration. */
struct routing_document
{
    std::int64_t version = 0; ///< Increases with each change.
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::vector<keyed_account> accounts;
    /** Whether the document lists accounts at all. A list without an account still requires a key, which nobody has. */
    bool listsAccounts = false;
    caller_limits limits;

    friend bool operator==(const routing_document &, const routing_document &) = default;
};

} // namespace bronzechute
