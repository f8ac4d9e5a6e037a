#pragma once

#include "balance/endpoint_view.h"

#include <span>

namespace bronzechute {

/**
 * @param endpoints endpoints of one service
 * @returns the highest slot utilization over the mean one; 0 while less than one request per endpoint is running,
 *          because single requests decide it then
 */
double busiestOverMean(std::span<const endpoint_view> endpoints);

} // namespace bronzechute
