#include "balance/placement.h"

#include <algorithm>
#include <limits>

namespace bronzechute {

namespace {

// In units of a full endpoint, so that a suspect is selected only if no other endpoint has room.
constexpr double suspectPenalty = 10.0;
// A remote endpoint is preferred only if its slot utilization is lower by more than this.
constexpr double remotePenalty = 0.02;
// Cost added per multiple of the shortest gap between stream events, because streams of a slow endpoint miss their
// target.
constexpr double slowStreamWeight = 0.5;

double shortestGapMs(std::span<const endpoint_view> endpoints)
{
    double shortestMs = std::numeric_limits<double>::infinity();
    for (const endpoint_view &endpoint : endpoints) {
        if (endpoint.usable && endpoint.gapMs > 0) {
            shortestMs = std::min(shortestMs, endpoint.gapMs);
        }
    }
    return shortestMs;
}

double placementCost(const endpoint_view &endpoint, double shortestMs)
{
    double cost = static_cast<double>(endpoint.running + 1) / endpoint.slots;
    if (endpoint.gapMs > 0) {
        cost += slowStreamWeight * (endpoint.gapMs / shortestMs - 1.0);
    }
    return cost + (endpoint.suspect ? suspectPenalty : 0.0) + (endpoint.local ? 0.0 : remotePenalty);
}

} // namespace

std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random)
{
    const double shortestMs = shortestGapMs(endpoints);
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::size_t ties = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const endpoint_view &endpoint = endpoints[index];
        if (!endpoint.usable || endpoint.running >= endpoint.slots + overcommit) {
            continue;
        }
        const double cost = placementCost(endpoint, shortestMs);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && random() % ++ties == 0) {
            best = index; // Reservoir sampling: each of the ties is selected with the same probability.
        }
    }
    return best;
}

} // namespace bronzechute
