#pragma once

#include "gateway/group_state.h"
#include "quarantine/crash_evidence.h"

#include <cstdint>
#include <vector>

namespace bronzechute {

/** What all gateways need to know at once: states of the rank groups, and what is known about crashes. */
struct exchange_news
{
    std::uint64_t origin = 0; ///< Incarnation of the coordinator whose group states these are.
    std::uint64_t sequence = 0; ///< Increases with each message of group states of an origin.
    std::vector<group_state> groups;
    crash_evidence evidence;

    friend bool operator==(const exchange_news &, const exchange_news &) = default;
};

} // namespace bronzechute
