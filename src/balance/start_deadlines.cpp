#include "balance/start_deadlines.h"

#include <algorithm>

namespace bronzechute {

namespace {

// The first event must arrive before the caller abandons the stream.
constexpr std::chrono::milliseconds maxFirstAttemptWait {900};
// A caller that retries does so only once, so a late start is better than another refusal. The same holds in an outage:
// a caller that waits as long as it can and retries as late as it can has the best chance to find an endpoint.
constexpr std::chrono::milliseconds maxWait {1600};

} // namespace

start_deadlines startDeadlines(const start_conditions &conditions, time_point now)
{
    const time_point latestOnTimeStart =
        conditions.returned ? time_point::min() : conditions.arrivedAt + conditions.target - conditions.serviceTime;
    const time_point waitLimit = now + (conditions.returned || conditions.outage ? maxWait : maxFirstAttemptWait);
    return {latestOnTimeStart, std::min(conditions.deadline - conditions.serviceTime, waitLimit)};
}

} // namespace bronzechute
