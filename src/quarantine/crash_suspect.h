#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bronzechute {

/** A request that was at an endpoint when the endpoint crashed, and that may be the cause. */
struct crash_suspect
{
    std::vector<std::string> parts; ///< Ids of the prompt parts that other requests may share, in order.
    bool begun = false; ///< The endpoint had begun to answer.
    bool writing = false; ///< Its answer had come beyond the beginning; only if it had begun.

    friend bool operator==(const crash_suspect &, const crash_suspect &) = default;
};

/** Where only some parts of a suspect are told, these are at least so many. */
constexpr std::size_t leastToldParts = 8;

} // namespace bronzechute
