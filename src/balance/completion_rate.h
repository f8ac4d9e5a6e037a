#pragma once

#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/** Measures how often work ends, over the last few ends. */
class completion_rate
{
public:
    void record(time_point now);

    /** @returns the mean time between two ends, at least since the last one; zero while too few were seen. */
    boot_clock::duration interval(time_point now) const;

private:
    static constexpr std::size_t window = 24; ///< Ends that are averaged; a third of a second at 70 a second.
    static constexpr std::size_t fewest = 4;

    std::deque<time_point> m_ends;
};

} // namespace bronzechute
