#pragma once

#include "expert_map/expert_map.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/**
 * Computes a placement from scratch, regardless of the loads it needs. Spare slots become copies of the experts with
 * the highest load per copy; copies are then assigned in descending order of load to the least loaded rank.
 *
 * @param slots number of experts of one layer that fit into the memory of a rank; ranks * slots >= experts
 * @param speeds relative speed of each rank; 1 is normal
 */
expert_map placeExperts(const load_matrix &load, std::size_t ranks, std::size_t slots,
                        const std::vector<double> &speeds);

} // namespace bronzechute
