#pragma once

#include "expert_map/load_matrix.h"

#include <cstdint>

namespace bronzechute {

/** Number of times each expert was selected for the requests of one rank since the rank started. */
struct rank_counts
{
    std::int64_t epoch = 0; ///< Of the rank group; see rank_report.
    std::int64_t step = 0; ///< The last step that was begun.
    load_matrix chosen; ///< Selection counts, not rates.

    friend bool operator==(const rank_counts &, const rank_counts &) = default;
};

} // namespace bronzechute
