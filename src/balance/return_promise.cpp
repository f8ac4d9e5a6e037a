#include "balance/return_promise.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds minDelay {50};
// Half of the time for which a caller that came back may wait; the other half is left for errors of the estimate.
constexpr double maxReturnWaitSeconds = 0.8;

double millisecondsOf(boot_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::size_t intervalOf(double ms)
{
    const double index = std::max(0.0, ms) / static_cast<double>(returnInterval.count());
    return std::min(returnIntervals - 1, static_cast<std::size_t>(index));
}

/** @returns the first interval of the range in which a return is served soon; the end of the range if there is none. */
std::size_t firstWithRoom(const return_outlook &outlook, std::size_t first, std::size_t last)
{
    const double startsPerInterval = outlook.startsPerSecond * std::chrono::duration<double>(returnInterval).count();
    double backlog = 0;
    for (std::size_t index = 0; index <= last; ++index) {
        backlog = std::max(0.0, backlog + outlook.promised.at(index) - startsPerInterval);
        if (index >= first && backlog + 1 <= maxReturnWaitSeconds * outlook.startsPerSecond) {
            return index;
        }
    }
    return last + 1;
}

} // namespace

return_promise promiseReturn(const return_outlook &outlook, boot_clock::duration earliest, boot_clock::duration latest,
                             std::mt19937_64 &random)
{
    const double latestMs = std::max(0.0, millisecondsOf(latest));
    const double earliestMs = std::clamp(millisecondsOf(earliest), 0.0, latestMs);
    const std::size_t last = intervalOf(latestMs);
    return_promise promise;
    std::size_t chosen = firstWithRoom(outlook, intervalOf(earliestMs), last);
    promise.hasRoom = chosen <= last;
    double beginMs = earliestMs;
    if (!promise.hasRoom) {
        beginMs = std::max(earliestMs, latestMs / 2);
        chosen = last;
        for (std::size_t index = last; index-- > intervalOf(beginMs);) {
            chosen = outlook.promised.at(index) < outlook.promised.at(chosen) ? index : chosen;
        }
    }
    const auto length = static_cast<double>(returnInterval.count());
    const double from = std::max(beginMs, static_cast<double>(chosen) * length);
    const double until = chosen == last ? latestMs : std::min(latestMs, static_cast<double>(chosen + 1) * length);
    std::uniform_real_distribution<double> delays(std::min(from, until), until);
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(until > 0 ? delays(random) : 0));
    promise.delay = std::max(minDelay, delay);
    return promise;
}

} // namespace bronzechute
