#include "balance/placement.h"

#include <algorithm>
#include <limits>

namespace bronzechute {

namespace {

// Adds to the cost in units of a full endpoint: a suspect is taken only when no other has room.
constexpr double suspectCost = 10.0;
// A remote endpoint has to be this much less loaded, as a share of its slots, to be preferred.
constexpr double remoteCost = 0.02;
// Streams of an endpoint whose pause between events is a multiple of the fastest one's arrive late.
constexpr double slowPaceWeight = 0.5;

double fastestGap(std::span<const endpoint_view> endpoints)
{
    double fastest = std::numeric_limits<double>::infinity();
    for (const endpoint_view &endpoint : endpoints) {
        if (endpoint.usable && endpoint.gapMs > 0) {
            fastest = std::min(fastest, endpoint.gapMs);
        }
    }
    return fastest;
}

double costOf(const endpoint_view &endpoint, double fastest)
{
    double cost = static_cast<double>(endpoint.running + 1) / endpoint.slots;
    if (endpoint.gapMs > 0) {
        cost += slowPaceWeight * (endpoint.gapMs / fastest - 1.0);
    }
    return cost + (endpoint.suspect ? suspectCost : 0.0) + (endpoint.local ? 0.0 : remoteCost);
}

} // namespace

std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random)
{
    const double fastest = fastestGap(endpoints);
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::size_t equals = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const endpoint_view &endpoint = endpoints[index];
        if (!endpoint.usable || endpoint.running >= endpoint.slots + overcommit) {
            continue;
        }
        const double cost = costOf(endpoint, fastest);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
            equals = 1;
        } else if (cost == bestCost && random() % ++equals == 0) {
            best = index; // Each of the equal ones is kept with the same probability.
        }
    }
    return best;
}

} // namespace bronzechute
