#include "policy/prefix_popularity.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {
namespace {

// Requests over which counts decay: long enough that a share of 1/16 is known to about a quarter of its value, short
// enough that an entry with 40 requests a second notices a new hot prefix within seconds.
constexpr double window = 256;

} // namespace

double prefix_popularity::record(std::uint64_t prefix)
{
    ++m_requests;
    counter &slot = m_counters[prefix % slots];
    slot.weight *= std::exp(-static_cast<double>(m_requests - slot.at) / window);
    slot.at = m_requests;
    if (slot.prefix != prefix) {
        if (slot.weight >= 1) {
            return 0;
        }
        slot.prefix = prefix;
        slot.weight = 0;
    }
    slot.weight += 1;
    // Until a window of requests has been seen, the weights add up to less than the window.
    return std::min(1.0, slot.weight / window);
}

} // namespace bronzechute
