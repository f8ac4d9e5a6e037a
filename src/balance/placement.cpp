#include "balance/placement.h"

#include <algorithm>
#include <cmath>
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
// An engine whose memory is full preempts the newest request, so others are preferred shortly before.
constexpr double highMemoryUse = 0.9;
constexpr double memoryPenalty = 2.0;

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

placement_cost costOf(const endpoint_view &endpoint, double shortestMs)
{
    placement_cost cost;
    cost.utilization = static_cast<double>(endpoint.running + 1) / endpoint.slots;
    cost.extraWork = endpoint.extraWork / endpoint.slots;
    const bool isComparable = endpoint.gapMs > 0 && std::isfinite(shortestMs);
    cost.slowStreams = isComparable ? slowStreamWeight * (endpoint.gapMs / shortestMs - 1.0) : 0.0;
    cost.memory = endpoint.memoryUse > highMemoryUse ? memoryPenalty : 0.0;
    cost.suspect = endpoint.suspect ? suspectPenalty : 0.0;
    cost.remote = endpoint.local ? 0.0 : remotePenalty;
    return cost;
}

struct candidate
{
    std::size_t index = 0;
    double cost = 0;
    double slots = 0;
};

std::vector<candidate> candidatesOf(std::span<const endpoint_view> endpoints, int overcommit)
{
    const double shortestMs = shortestGapMs(endpoints);
    std::vector<candidate> candidates;
    candidates.reserve(endpoints.size());
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const endpoint_view &endpoint = endpoints[index];
        if (endpoint.usable && endpoint.running < endpoint.slots + overcommit) {
            candidates.push_back(
                {index, costOf(endpoint, shortestMs).total(), static_cast<double>(std::max(1, endpoint.slots))});
        }
    }
    return candidates;
}

std::optional<std::size_t> cheapest(std::span<const candidate> candidates, std::mt19937_64 &random)
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::size_t ties = 0;
    for (const candidate &each : candidates) {
        if (each.cost < bestCost) {
            best = each.index;
            bestCost = each.cost;
            ties = 1;
        } else if (each.cost == bestCost && random() % ++ties == 0) {
            best = each.index; // Reservoir sampling: each of the ties is selected with the same probability.
        }
    }
    return best;
}

/** @returns the cost up to which this many requests raise the candidates, which are sorted by cost and not empty. */
double fillLevel(std::span<const candidate> candidates, double requests)
{
    double slots = 0;
    double weighted = 0;
    for (std::size_t count = 0; count < candidates.size(); ++count) {
        slots += candidates[count].slots;
        weighted += candidates[count].slots * candidates[count].cost;
        const double level = (requests + weighted) / slots;
        if (count + 1 == candidates.size() || level <= candidates[count + 1].cost) {
            return level;
        }
    }
    return 0;
}

} // namespace

std::vector<placement_cost> placementCosts(std::span<const endpoint_view> endpoints)
{
    const double shortestMs = shortestGapMs(endpoints);
    std::vector<placement_cost> costs;
    costs.reserve(endpoints.size());
    for (const endpoint_view &endpoint : endpoints) {
        costs.push_back(costOf(endpoint, shortestMs));
    }
    return costs;
}

std::vector<double> placementShares(std::span<const endpoint_view> endpoints, int overcommit, double requests)
{
    std::vector<double> shares(endpoints.size(), 0.0);
    std::vector<candidate> candidates = candidatesOf(endpoints, overcommit);
    if (candidates.empty() || requests <= 0) {
        return shares;
    }
    std::ranges::sort(candidates, {}, &candidate::cost);
    const double level = fillLevel(candidates, requests);
    for (const candidate &each : candidates) {
        shares[each.index] = std::max(0.0, each.slots * (level - each.cost));
    }
    return shares;
}

std::optional<std::size_t> placeRequest(std::span<const endpoint_view> endpoints, int overcommit,
                                        std::mt19937_64 &random, double concurrent)
{
    if (concurrent <= 0) {
        return cheapest(candidatesOf(endpoints, overcommit), random);
    }
    const std::vector<double> shares = placementShares(endpoints, overcommit, concurrent);
    double total = 0;
    for (const double share : shares) {
        total += share;
    }
    if (total <= 0) {
        return cheapest(candidatesOf(endpoints, overcommit), random); // Too little to raise a cost measurably.
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(random);
    std::optional<std::size_t> last;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        if (shares[index] <= 0) {
            continue;
        }
        last = index;
        drawn -= shares[index];
        if (drawn < 0) {
            break;
        }
    }
    return last;
}

} // namespace bronzechute
