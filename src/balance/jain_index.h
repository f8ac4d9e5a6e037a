#pragma once

#include <span>

namespace bronzechute {

/**
 * Jain's fairness index, from 1 (all equal) down to one over their number (one has all).
 * @param shares not negative
 * @returns 1 if there are no shares, or none above 0
 */
double jainIndex(std::span<const double> shares);

} // namespace bronzechute
