#include "balance/cold_permits.h"

#include "policy/name_hash.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Split of the rate per second into a burst and a refill rate. Their sum is the rate; the refill rate alone is what a
// steady load can use, and stays above two thirds of it.
constexpr double burstShare = 0.3;
constexpr double refillShare = 0.7;
// While up to a third of the gateways are gone, the others use the whole rate, and disjoint sets 1.02 times the rate.
constexpr double knownShareFactor = 1.46;
// The platform bears 1.5 times the rate, and 5 requests more. A third of what is left of this is the largest burst, so
// that three sets of gateways that do not know each other stay within it, to less than one request.
constexpr double burstPerRate = 0.159;
constexpr double burstAlways = 1.78;
// A gateway that knows fewer of the others has probably just woken up; more than three sets would exceed the bound.
constexpr double minKnownShare = 0.3;
// A warm endpoint may turn cold without notice, so its rate has a limit too.
constexpr double warmBurstShare = 0.4;
constexpr double warmRefillShare = 0.6;
// Until the others are known, a gateway assumes that at least this many share a bound.
constexpr int assumedGateways = 4;

/** Final mixing step of SplitMix64. */
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

int countOf(const gateway_fleet &fleet)
{
    return std::max(1, static_cast<int>(fleet.members.size()));
}

/** @returns the number of gateways that may exist, known to this one or not. */
int possibleCountOf(const gateway_fleet &fleet)
{
    const int known = std::max(countOf(fleet), fleet.highestCount);
    return fleet.discovered ? known : std::max(known, assumedGateways);
}

} // namespace

std::size_t gatewayRank(const gateway_fleet &fleet, std::string_view name)
{
    const std::uint64_t nameHash = mixed(hashName(name));
    const auto score = [nameHash](const std::string &host) {
        return mixed(nameHash ^ hashName(host));
    };
    const std::uint64_t own = score(fleet.self);
    return static_cast<std::size_t>(std::ranges::count_if(fleet.members, [&](const std::string &host) {
        const std::uint64_t other = score(host);
        return other < own || (other == own && host < fleet.self);
    }));
}

std::optional<rate_share> coldPermit(const gateway_fleet &fleet, std::string_view endpoint, double perSecond)
{
    if (!fleet.discovered) {
        return std::nullopt;
    }
    const int known = countOf(fleet);
    const double burst = std::min(burstShare * perSecond, burstPerRate * perSecond + burstAlways);
    const int possible = possibleCountOf(fleet);
    const int holders = std::clamp(static_cast<int>(burst), 1, possible);
    const double knownShare = static_cast<double>(known) / possible;
    const bool knowsTooFew = knownShare < minKnownShare && holders < possible;
    if (knowsTooFew || gatewayRank(fleet, endpoint) >= static_cast<std::size_t>(holders)) {
        return std::nullopt;
    }
    const double perSecondOfKnown = refillShare * perSecond * std::min(1.0, knownShareFactor * knownShare);
    return rate_share {perSecondOfKnown / std::min(holders, known), std::max(1.0, burst / holders)};
}

rate_share warmShare(int gateways, double perSecond)
{
    const double own = perSecond / std::max(1, gateways);
    return {warmRefillShare * own, std::max(1.0, warmBurstShare * own)};
}

double wholePermitShare(const gateway_fleet &fleet, std::string_view name, double total)
{
    const double own = total / std::max(possibleCountOf(fleet), fleet.expectedCount);
    if (!fleet.discovered) {
        return own;
    }
    // With equal parts x, the sum of floor(x + rank / n) over n gateways is floor(n * x).
    return own + static_cast<double>(gatewayRank(fleet, name)) / countOf(fleet);
}

} // namespace bronzechute
