#include "balance/return_schedule.h"

namespace bronzechute {

namespace {

std::int64_t intervalOf(time_point at)
{
    return at.time_since_epoch() / returnInterval;
}

// Callers that are told to come back later are not counted; the count is bounded by this.
constexpr std::int64_t maxIntervals = 256;

} // namespace

void return_schedule::record(time_point at, time_point now)
{
    m_promised.erase(m_promised.begin(), m_promised.lower_bound(intervalOf(now)));
    if (intervalOf(at) - intervalOf(now) < maxIntervals) {
        ++m_promised[intervalOf(at)];
    }
}

int return_schedule::due(time_point from, time_point until) const
{
    int count = 0;
    const auto end = m_promised.lower_bound(intervalOf(until));
    for (auto each = m_promised.lower_bound(intervalOf(from)); each != end; ++each) {
        count += each->second;
    }
    return count;
}

promised_returns return_schedule::outlook(time_point now) const
{
    promised_returns outlook {};
    for (std::size_t index = 0; index < returnIntervals; ++index) {
        const time_point from = now + returnInterval * static_cast<std::int64_t>(index);
        outlook.at(index) = due(from, from + returnInterval);
    }
    return outlook;
}

} // namespace bronzechute
