#include "balance/load_evenness.h"

#include <algorithm>

namespace bronzechute {

double busiestOverMean(std::span<const endpoint_view> endpoints)
{
    double running = 0;
    double slots = 0;
    double busiest = 0;
    for (const endpoint_view &endpoint : endpoints) {
        const double own = std::max(1, endpoint.slots);
        running += endpoint.running;
        slots += own;
        busiest = std::max(busiest, endpoint.running / own);
    }
    if (endpoints.empty() || running < static_cast<double>(endpoints.size())) {
        return 0;
    }
    return busiest * slots / running;
}

} // namespace bronzechute
