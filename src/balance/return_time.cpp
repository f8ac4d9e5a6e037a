#include "balance/return_time.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Part of the latest return over which the returns of callers that are refused together are spread.
constexpr double spread = 0.3;
// A line that is as long as it may become takes about this share of the latest return to be served.
constexpr double overloadShare = 0.6;
constexpr std::chrono::milliseconds shortest {50};

} // namespace

std::chrono::milliseconds returnAfter(refusal_cause cause, boot_clock::duration expectedWait,
                                      boot_clock::duration latest, std::mt19937_64 &random)
{
    const double bound = std::chrono::duration<double, std::milli>(latest).count();
    const double wait = std::chrono::duration<double, std::milli>(expectedWait).count();
    const double aim = cause == refusal_cause::unavailable ? bound : std::max(wait, overloadShare * bound);
    const double lowest = std::min(aim, bound) * (1.0 - spread);
    const double drawn = std::uniform_real_distribution<double>(lowest, std::max(lowest, std::min(aim, bound)))(random);
    return std::max(shortest, std::chrono::milliseconds(static_cast<std::int64_t>(drawn)));
}

} // namespace bronzechute
