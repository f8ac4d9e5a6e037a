#include "balance/retry_delay.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Share of the delay by which jitter may shorten it, for callers that are refused together.
constexpr double overloadJitterShare = 0.3;
// Smaller in an outage, in which callers are refused one after the other as they arrive, so that they outlast it.
constexpr double outageJitterShare = 0.1;
// A queue of the maximum length takes about this share of the longest delay to drain.
constexpr double minOverloadDelayShare = 0.6;
constexpr std::chrono::milliseconds minRetryDelay {50};
// Callers that wait for the same endpoints return within this time after these work again.
constexpr double knownEndSpreadMs = 800;

std::chrono::milliseconds delayBetween(double earliestMs, double latestMs, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> delays(earliestMs, std::max(earliestMs, latestMs));
    return std::chrono::milliseconds(static_cast<std::int64_t>(delays(random)));
}

} // namespace

std::chrono::milliseconds retryDelay(refusal_cause cause, boot_clock::duration expectedWait,
                                     boot_clock::duration latest, std::mt19937_64 &random)
{
    const double latestMs = std::chrono::duration<double, std::milli>(latest).count();
    const double expectedWaitMs = std::chrono::duration<double, std::milli>(expectedWait).count();
    if (cause == refusal_cause::unavailable && expectedWaitMs > 0) {
        const double earliest = std::min(expectedWaitMs, latestMs);
        const double last = std::min(expectedWaitMs + knownEndSpreadMs, latestMs);
        return std::max(minRetryDelay, delayBetween(earliest, last, random));
    }
    const double desiredMs =
        cause == refusal_cause::unavailable ? latestMs : std::max(expectedWaitMs, minOverloadDelayShare * latestMs);
    const double jitterShare = cause == refusal_cause::unavailable ? outageJitterShare : overloadJitterShare;
    const double earliestMs = std::min(desiredMs, latestMs) * (1.0 - jitterShare);
    return std::max(minRetryDelay, delayBetween(earliestMs, std::min(desiredMs, latestMs), random));
}

} // namespace bronzechute
