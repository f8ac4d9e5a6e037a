#pragma once

#include "gateway/group_state.h"
#include "quarantine/crash_evidence.h"

#include <vector>

namespace bronzechute {

/** What a datagram of another gateway has to say to the rest of this one. */
struct incoming_news
{
    bool isValid = false; ///< False if the datagram is none that this version understands.
    std::vector<group_state> groups;
    crash_evidence evidence;
};

} // namespace bronzechute
