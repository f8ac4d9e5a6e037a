#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace bronzechute {

/** Identifies one run of an endpoint process, from its start to its end. */
struct endpoint_run
{
    std::string endpoint; ///< Id of the endpoint.
    std::int64_t startedAtMs = 0; ///< Unix time of the start, as the endpoint's entry in the directory has it.

    friend bool operator==(const endpoint_run &, const endpoint_run &) = default;
    friend bool operator<(const endpoint_run &left, const endpoint_run &right)
    {
        return std::tie(left.endpoint, left.startedAtMs) < std::tie(right.endpoint, right.startedAtMs);
    }
};

} // namespace bronzechute
