#include "balance/useful_start.h"

#include <algorithm>

namespace bronzechute {

namespace {

// The first event has to come before the caller gives the stream up.
constexpr std::chrono::milliseconds longestWait {900};
// A caller that has come back has no further try, so that a late start is better than none.
constexpr std::chrono::milliseconds longestLastWait {1600};

} // namespace

useful_start usefulStart(const start_bounds &bounds, time_point now)
{
    const time_point inTimeUntil =
        bounds.returned ? time_point::min() : bounds.arrivedAt + bounds.target - bounds.usual;
    const time_point patience = now + (bounds.returned ? longestLastWait : longestWait);
    return {inTimeUntil, std::min(bounds.deadline - bounds.usual, patience)};
}

} // namespace bronzechute
