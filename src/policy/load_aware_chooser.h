#pragma once

#include "policy/endpoint_chooser.h"
#include "policy/load_aware_settings.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/**
 * Selects by estimated utilisation, with prefix affinity that is bounded by load.
 *
 * Utilisation is the estimated load over the reported limit. The estimate is the reported load (in flight and queued)
 * and the change of this entry's own requests since the report, times the number of entries: the others are taken to
 * behave alike, because all see the same lagging reports. A request with a prefix goes to the endpoint of the highest
 * affinity or, for equal affinity, of the highest rendezvous hash of prefix and name, among those under the bound; so
 * entries that share no state agree. Otherwise the least utilised of a few random candidates is taken, which keeps
 * entries with the same lagging view from all selecting the same endpoint.
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
        double utilisation = 0;
    };

    bool mayTake(const endpoint_candidate &candidate, const choice_request &request) const;
    std::optional<std::size_t> chooseByPrefix(std::span<const endpoint_candidate> candidates,
                                              const choice_request &request, double meanUtilisation) const;

    const load_aware_settings m_settings;
    std::vector<option> m_options; ///< Kept between calls to avoid allocation.
};

} // namespace bronzechute
