#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bronzechute {

/**
 * Estimates the share of recent requests that have a prompt prefix, in constant memory: a table of counters that decay
 * with each request. A prefix whose slot another one holds is counted once the holder has decayed, so only prefixes of
 * a small share are underestimated.
 */
class prefix_popularity
{
public:
    /** Counts one request. @returns the share of its prefix, 0..1. */
    double record(std::uint64_t prefix);

private:
    struct counter
    {
        std::uint64_t prefix = 0;
        std::uint64_t at = 0; ///< Number of the request at which weight was brought up to date.
        double weight = 0;
    };

    static constexpr std::size_t slots = 1024;

    std::array<counter, slots> m_counters {};
    std::uint64_t m_requests = 0;
};

} // namespace bronzechute
