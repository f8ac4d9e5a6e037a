#pragma once

#include "policy/endpoint_chooser.h"
#include "policy/load_aware_settings.h"
#include "policy/prefix_popularity.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/**
 * Selects by estimated load, with prefix affinity that is bounded by load.
 *
 * The estimate is the reported load (in flight and queued) plus the change of this entry's own requests since the
 * report, times the number of entries: the others are taken to behave alike, because all see the same lagging reports.
 * The cost of an endpoint is its service time, relative to the mean and beyond a tolerance, times the estimate over the
 * mean limit plus what exceeds the endpoint's own limit over that limit. The mean service time of equal endpoints
 * differs by the length of the answers they happened to give, and must not steer requests. Load over the own limit
 * alone would send more to endpoints whose limit has grown, although the engines are equal.
 *
 * A request with a prefix goes to the endpoint of the highest affinity or, for equal affinity, of the highest
 * rendezvous hash of prefix and name, among those whose cost is under the bound and, while
 * the pool has room, that have no queue; so entries that share no state agree.
 *
 * A prefix of so many requests that a few endpoints cannot hold it is spread: the cheapest endpoint under the bound
 * takes it, out of a part of the pool that grows with its share of this entry's requests and that the rendezvous hash
 * selects. Affinity alone would fill its holders up to the bound while the others wait, which the lag of the reports
 * turns into queues there. What counts is the longest part of the prompt that is cached anywhere, so a conversation
 * stays where it is although its first block is common.
 *
 * Otherwise the cheapest of a few random candidates is taken, which keeps entries with the same lagging view from all
 * selecting the same endpoint.
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
        double load = 0; ///< Estimated, this request included.
        double cost = 0;
    };

    bool mayTake(const endpoint_candidate &candidate, const choice_request &request) const;
    std::optional<std::size_t> chooseByPrefix(std::span<const endpoint_candidate> candidates,
                                              const choice_request &request, double meanCost);
    /** @returns over how many endpoints the longest cached part of the prompt is spread, by its share of requests. */
    double holdersOf(std::span<const endpoint_candidate> candidates, const choice_request &request);

    const load_aware_settings m_settings;
    prefix_popularity m_popularity;
    std::vector<option> m_options; ///< Kept between calls to avoid allocation.
};

} // namespace bronzechute
