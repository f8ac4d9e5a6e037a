#pragma once

#include "expert_map/load_matrix.h"

#include <cstdint>

namespace bronzechute {

/** How often the requests of one rank chose each expert since the rank started. */
struct rank_counts
{
    std::int64_t epoch = 0;
    std::int64_t step = 0; ///< The last one that was begun.
    load_matrix chosen;

    friend bool operator==(const rank_counts &, const rank_counts &) = default;
};

} // namespace bronzechute
