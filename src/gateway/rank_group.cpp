#include "gateway/rank_group.h"

#include <algorithm>

namespace bronzechute {

namespace {

// In a large group, a gateway has streams at a few of the ranks at a time. All ranks make the same steps, and what
// others showed earlier says nothing about the present ones.
constexpr std::chrono::seconds measurementLifetime {1};

boot_clock::duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(value));
}

/** @returns the mean of a measurement over the ranks that were measured just now, or over all that ever were. */
double meanOf(const rank_group &group, double gateway_endpoint::*measurement, time_point now)
{
    const auto mean = [&](bool recentOnly) {
        double sum = 0;
        int measured = 0;
        for (const gateway_endpoint_ptr &rank : group.ranks) {
            const bool recent = rank != nullptr && now - rank->lastGapAt < measurementLifetime;
            if (rank != nullptr && (recent || !recentOnly) && (*rank).*measurement > 0) {
                sum += (*rank).*measurement;
                ++measured;
            }
        }
        return measured == 0 ? 0.0 : sum / measured;
    };
    const double recent = mean(true);
    return recent > 0 ? recent : mean(false);
}

} // namespace

// Each step produces one event of each stream.
boot_clock::duration rank_group::meanStepTime(time_point now) const
{
    const double latest = meanOf(*this, &gateway_endpoint::lastGapMs, now);
    return fromMilliseconds(latest > 0 ? latest : meanOf(*this, &gateway_endpoint::gapMs, now));
}

boot_clock::duration rank_group::longestStepTime(time_point now) const
{
    return fromMilliseconds(meanOf(*this, &gateway_endpoint::longestGapMs, now));
}

} // namespace bronzechute
