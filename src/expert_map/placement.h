#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/**
 * Places the experts from scratch, whatever has to be loaded: copies go to the experts with the highest load for each
 * copy, and the copies in descending order to the least loaded rank.
 *
 * @param slots experts of one layer that the memory of each rank holds; ranks * slots >= experts
 * @param speeds relative speed of each rank, 1 for a normal one
 */
expert_map placeExperts(const load_matrix &load, std::size_t ranks, std::size_t slots,
                        const std::vector<double> &speeds);

} // namespace bronzechute
