#pragma once

#include "policy/endpoint_chooser.h"
#include "policy/load_aware_settings.h"
#include "policy/prefix_popularity.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/**
 * Selects endpoints by estimated load, with load-bounded prefix affinity.
 *
 * The estimated load is the reported load (in flight and queued) plus the change of this entry's own requests since the
 * report, times the number of entries. The other entries are assumed to behave alike, because all see the same delayed
 * reports. The cost of an endpoint is (load / mean limit + load beyond its own limit / its own limit) times its service
 * time relative to the mean. Service times within a tolerance count as equal, because the mean service times of equal
 * endpoints differ by the lengths of their recent responses. The load is not divided by the endpoint's own limit alone,
 * which would send more requests to endpoints whose limit has grown although the engines are equal.
 *
 * A request with a prefix goes to the endpoint with the highest affinity or, for equal affinity, with the highest
 * rendezvous hash of prefix and endpoint name. Only endpoints whose cost is within the bound and, while the pool has
 * spare capacity, that have no queue are considered. Entries thus agree without shared state.
 *
 * A hot prefix, with more requests than a few endpoints can serve, is replicated: it goes to the cheapest endpoint
 * within the bound, out of a part of the pool that the rendezvous hash selects and that grows with the prefix's share
 * of this entry's requests. Affinity alone would fill the endpoints that cache it up to the bound while others are
 * idle, and the delay of the reports would turn that into queues there. The share is that of the longest part of the
 * prompt that is cached at any endpoint, so a conversation stays at its endpoint although its first block is common.
 *
 * A request without a prefix, or without an endpoint within the bound, goes to the cheapest of a few random candidates.
 * This keeps entries with the same delayed view from all selecting the same endpoint.
 */
class load_aware_chooser : public endpoint_chooser
{
public:
    explicit load_aware_chooser(const load_aware_settings &settings = {});

    std::optional<std::size_t> choose(std::span<const endpoint_candidate> candidates, const choice_request &request,
                                      std::mt19937_64 &random) override;

private:
    struct option
    {
        std::uint32_t index = 0;
        double load = 0; ///< Estimated load, including this request.
        double cost = 0;
    };

    bool isEligible(const endpoint_candidate &candidate, const choice_request &request) const;
    std::optional<std::size_t> chooseByPrefix(std::span<const endpoint_candidate> candidates,
                                              const choice_request &request, double meanCost);
    /** @returns the number of endpoints over which the longest cached part of the prompt is to be replicated. */
    double prefixReplicas(std::span<const endpoint_candidate> candidates, const choice_request &request);

    const load_aware_settings m_settings;
    prefix_popularity m_popularity;
    std::vector<option> m_options; ///< Eligible endpoints; a member to avoid an allocation in each call.
};

} // namespace bronzechute
