#include "policy/prefix_popularity.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {
namespace {

// Time constant of the decay, in requests: long enough to estimate a share of 1/16 to within about a quarter of its
// value, and short enough that an entry with 40 requests per second detects a new hot prefix within seconds.
constexpr double decayRequests = 256;

} // namespace

double prefix_popularity::record(std::uint64_t prefix)
{
    ++m_requests;
    counter &slot = m_counters[prefix % slotCount];
    slot.weight *= std::exp(-static_cast<double>(m_requests - slot.lastUpdate) / decayRequests);
    slot.lastUpdate = m_requests;
    if (slot.prefix != prefix) {
        if (slot.weight >= 1) {
            return 0;
        }
        slot.prefix = prefix;
        slot.weight = 0;
    }
    slot.weight += 1;
    // During the first requests the share is underestimated, because the weights add up to less than decayRequests.
    return std::min(1.0, slot.weight / decayRequests);
}

} // namespace bronzechute
