#pragma once

#include "store/platform_store.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/** All changes of the watched keys between two revisions of the store. */
struct store_changes
{
    std::int64_t after = 0; ///< Store revision before the first change.
    std::int64_t revision = 0; ///< Store revision up to which the changes are complete.
    std::vector<store_event> events; ///< In order of revision.

    friend bool operator==(const store_changes &, const store_changes &) = default;
};

} // namespace bronzechute
