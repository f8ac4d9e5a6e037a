#pragma once

#include "policy/endpoint_chooser.h"
#include "policy/load_aware_settings.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/**
 * Selects by estimated load, with prefix affinity that is bounded by load.
 *
 * The estimate is the reported load (in flight and queued) plus the change of this entry's own requests since the
 * report, times the number of entries: the others are taken to behave alike, because all see the same lagging reports.
 * The cost of an endpoint is its service time, relative to the mean, times the estimate over the mean limit plus what
 * exceeds the endpoint's own limit over that limit. Load over the own limit alone would send more to endpoints whose
 * limit has grown, although the engines are equal.
 *
 * A request with a prefix goes to the endpoint of the highest affinity or, for equal affinity, of the highest
 * rendezvous hash of prefix and name, among those whose cost is under the bound and, while
 * the pool has room, that have no queue; so entries that share no state agree.
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
                                              const choice_request &request, double meanCost) const;

    const load_aware_settings m_settings;
    std::vector<option> m_options; ///< Kept between calls to avoid allocation.
};

} // namespace bronzechute
