#include "gateway/rank_group.h"

namespace bronzechute {

namespace {

boot_clock::duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace

boot_clock::duration rank_group::meanStepTime() const
{
    double sumMs = 0;
    int measured = 0;
    for (const gateway_endpoint_ptr &rank : ranks) {
        if (rank != nullptr && rank->gapMs > 0) {
            sumMs += rank->gapMs;
            ++measured;
        }
    }
    return fromMilliseconds(measured == 0 ? 0.0 : sumMs / measured); // Each step produces one event of each stream.
}

boot_clock::duration rank_group::longestStepTime() const
{
    double sumMs = 0;
    for (const gateway_endpoint_ptr &rank : ranks) {
        sumMs += rank->longestGapMs;
    }
    return fromMilliseconds(sumMs / static_cast<double>(ranks.size()));
}

} // namespace bronzechute
