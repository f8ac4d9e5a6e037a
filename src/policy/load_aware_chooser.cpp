#include "policy/load_aware_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzechute {
namespace {

/** Final mixing step of MurmurHash3: spreads every input bit over the result. */
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xFF51AFD7ED558CCDULL;
    value ^= value >> 33;
    value *= 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33);
}

int estimatedLoad(const endpoint_candidate &candidate, int entries)
{
    const int change = (candidate.ownInFlight - candidate.ownInFlightAtStatus) * entries;
    return std::max(candidate.ownInFlight, candidate.inFlight + candidate.queued + change);
}

} // namespace

load_aware_chooser::load_aware_chooser(const load_aware_settings &settings) : m_settings(settings)
{
}

bool load_aware_chooser::isEligible(const endpoint_candidate &candidate, const choice_request &request) const
{
    if (candidate.state != serving_state::serving || candidate.statusAge > m_settings.statusLifetime
        || (candidate.ejected && !candidate.probeAllowed)) {
        return false;
    }
    return std::find(request.tried.begin(), request.tried.end(), candidate.name) == request.tried.end();
}

std::optional<std::size_t> load_aware_chooser::choose(std::span<const endpoint_candidate> candidates,
                                                      const choice_request &request, std::mt19937_64 &random)
{
    m_options.clear();
    m_options.reserve(candidates.size());
    double limitSum = 0;
    double serviceMsSum = 0;
    int knownServiceTimes = 0;
    bool onlyFull = true; // Whether all options so far are cold endpoints at their limit.
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const endpoint_candidate &candidate = candidates[index];
        if (!isEligible(candidate, request)) {
            continue;
        }
        if (candidate.ejected) {
            return index; // A probe is due. Without a request as probe, the endpoint would never be readmitted.
        }
        const int load = estimatedLoad(candidate, m_settings.entries);
        // A request would wait for the cold-start cap of a full cold endpoint, so that is used only as a last resort.
        const bool full = candidate.cold && load >= candidate.limit;
        if (full && !onlyFull) {
            continue;
        }
        if (!full && onlyFull) {
            m_options.clear();
            limitSum = serviceMsSum = 0;
            knownServiceTimes = 0;
            onlyFull = false;
        }
        limitSum += std::max(1, candidate.limit);
        serviceMsSum += candidate.meanServiceMs;
        knownServiceTimes += candidate.meanServiceMs > 0 ? 1 : 0;
        m_options.push_back({static_cast<std::uint32_t>(index), load + 1.0, 0});
    }
    if (m_options.empty()) {
        return std::nullopt;
    }
    // Reciprocals, because one division per candidate would take a considerable part of the selection time.
    const double inverseMeanLimit = static_cast<double>(m_options.size()) / limitSum;
    const double inverseMeanServiceMs = knownServiceTimes > 0 ? knownServiceTimes / serviceMsSum : 1;
    double costSum = 0;
    for (option &each : m_options) {
        const endpoint_candidate &candidate = candidates[each.index];
        const double service = candidate.meanServiceMs > 0 ? candidate.meanServiceMs * inverseMeanServiceMs : 1;
        const double tolerance = m_settings.serviceTolerance;
        const double slowness = service > 1 ? std::max(1.0, service / tolerance) : std::min(1.0, service * tolerance);
        const double limit = std::max(1, candidate.limit);
        each.cost = each.load * inverseMeanLimit;
        if (each.load > limit) {
            each.cost += (each.load - limit) / limit;
        }
        each.cost *= slowness;
        if (candidate.dataCentre != request.localDataCentre) {
            each.cost += m_settings.remotePenalty;
        }
        costSum += each.cost;
    }
    if (!request.prefixChain.empty()) {
        const auto preferred = chooseByPrefix(candidates, request, costSum / static_cast<double>(m_options.size()));
        if (preferred) {
            return preferred;
        }
    }
    std::uniform_int_distribution<std::size_t> pick(0, m_options.size() - 1);
    const option *best = &m_options[pick(random)];
    for (int sample = 1; sample < m_settings.samples; ++sample) {
        const option &other = m_options[pick(random)];
        if (other.cost < best->cost) {
            best = &other;
        }
    }
    return best->index;
}

std::optional<std::size_t> load_aware_chooser::chooseByPrefix(std::span<const endpoint_candidate> candidates,
                                                              const choice_request &request, double meanCost)
{
    const double bound = meanCost * m_settings.affinityBound + m_settings.affinitySlack;
    const std::uint64_t prefix = request.prefixChain.front();
    const double replicas = prefixReplicas(candidates, request);
    const bool hot = replicas >= m_settings.hotReplicas;
    const double poolShare = std::min(1.0, replicas / static_cast<double>(m_options.size()));
    const auto hashBound = static_cast<std::uint64_t>(poolShare * 0x1p63) * 2;
    const option *best = nullptr;
    const option *cheapest = nullptr;
    std::pair<double, std::uint64_t> bestKey;
    for (const option &each : m_options) {
        const endpoint_candidate &candidate = candidates[each.index];
        // While the pool has spare capacity, a cached prefix is not worth queueing.
        const bool wouldQueue = meanCost < m_settings.spareCapacityBelow && each.load > candidate.limit;
        if (wouldQueue || each.cost > bound) {
            continue;
        }
        const std::pair key(candidate.affinity, mix(prefix ^ candidate.nameHash));
        if (hot && (poolShare >= 1 || key.second < hashBound) && (!cheapest || each.cost < cheapest->cost)) {
            cheapest = &each;
        }
        if (!best || key > bestKey) {
            best = &each;
            bestKey = key;
        }
    }
    best = cheapest ? cheapest : best;
    return best ? std::optional<std::size_t>(best->index) : std::nullopt;
}

double load_aware_chooser::prefixReplicas(std::span<const endpoint_candidate> candidates, const choice_request &request)
{
    double highestAffinity = 0;
    for (const option &each : m_options) {
        highestAffinity = std::max(highestAffinity, candidates[each.index].affinity);
    }
    const std::size_t length = request.prefixChain.size();
    const auto matched = static_cast<std::size_t>(std::lround(highestAffinity * static_cast<double>(length)));
    const std::size_t last = std::clamp<std::size_t>(matched, 1, length) - 1;
    const double share = m_popularity.record(request.prefixChain[last]);
    return share * static_cast<double>(m_options.size()) * m_settings.replicasPerShare;
}

} // namespace bronzechute
