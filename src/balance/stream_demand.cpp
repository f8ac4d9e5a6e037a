#include "balance/stream_demand.h"

namespace bronzechute {

namespace {

// The number of events is an estimate, and the interval may become shorter again.
constexpr double certaintyFactor = 1.25;

} // namespace

bool canComplete(const stream_demand &demand, boot_clock::duration eventInterval, time_point now)
{
    const std::chrono::duration<double> needed = demand.events * eventInterval;
    return needed <= certaintyFactor * std::chrono::duration<double>(demand.deadline - now);
}

} // namespace bronzechute
