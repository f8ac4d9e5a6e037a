#pragma once

#include "expert_map/load_matrix.h"

namespace bronzechute {

/**
 * Compares two samples of selection counts of the same shape. The samples are correlated as deviations from even
 * demand, so that nearly even demand is compared as well as demand for a few experts, and the variance that comes from
 * counting is subtracted, so that small samples of the same demand are similar too.
 *
 * @returns 1 for the same demand, about 0 for unrelated demand; in between, roughly the share that both have in common
 */
double demandSimilarity(const load_matrix &left, const load_matrix &right);

} // namespace bronzechute
