#pragma once

#include "policy/choice_request.h"
#include "policy/endpoint_candidate.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace bronzechute {

/** Selects the endpoint for one attempt of a request. */
class endpoint_chooser
{
public:
    virtual ~endpoint_chooser() = default;

    /** @returns the index of the selected candidate; nothing when no candidate is eligible. */
    virtual std::optional<std::size_t> choose(std::span<const endpoint_candidate> candidates,
                                              const choice_request &request, std::mt19937_64 &random) = 0;
};

} // namespace bronzechute
