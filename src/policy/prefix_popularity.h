#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bronzechute {

/**
 * Estimates the share of recent requests that have a given prompt prefix, in constant memory: a hash table of counters
 * that decay exponentially with each request. When two prefixes collide in a slot, the second one is counted only after
 * the counter of the first has decayed, so only prefixes with a small share are underestimated.
 */
class prefix_popularity
{
public:
    /** Counts one request. @returns the estimated share of its prefix, 0..1. */
    double record(std::uint64_t prefix);

private:
    struct counter
    {
        std::uint64_t prefix = 0;
        std::uint64_t lastUpdate = 0; ///< Value of m_requests when weight was last updated.
        double weight = 0;
    };

    static constexpr std::size_t slotCount = 1024;

    std::array<counter, slotCount> m_counters {};
    std::uint64_t m_requests = 0;
};

} // namespace bronzechute
