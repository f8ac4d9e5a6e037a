#include "balance/start_deadlines.h"

#include <algorithm>

namespace bronzechute {

namespace {

// The first event must arrive before the caller abandons the stream.
constexpr std::chrono::milliseconds maxFirstAttemptWait {900};
// A caller that retries does so only once, so a late start is better than another refusal.
constexpr std::chrono::milliseconds maxRetryWait {1600};

} // namespace

start_deadlines startDeadlines(const start_conditions &bounds, time_point now)
{
    const time_point latestOnTimeStart =
        bounds.returned ? time_point::min() : bounds.arrivedAt + bounds.target - bounds.serviceTime;
    const time_point waitLimit = now + (bounds.returned ? maxRetryWait : maxFirstAttemptWait);
    return {latestOnTimeStart, std::min(bounds.deadline - bounds.serviceTime, waitLimit)};
}

} // namespace bronzechute
