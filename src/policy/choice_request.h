#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bronzechute {

/** Properties of a request that matter when an endpoint is selected for it. */
struct choice_request
{
    std::string_view localDataCentre; ///< Data centre of the entry that selects the endpoint.
    std::span<const std::uint64_t> prefixChain; ///< Hash chain of the prompt's blocks; empty when it has no prompt.
    int priority = 5; ///< 0..9, higher first.
    std::span<const std::string_view> tried; ///< Names of the endpoints that this request was already sent to.
};

} // namespace bronzechute
