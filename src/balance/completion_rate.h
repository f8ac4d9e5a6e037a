#pragma once

#include "base/boot_clock.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/** Measures how often requests complete, over the most recent completions. */
class completion_rate
{
public:
    void record(time_point now);

    /**
     * @returns the mean time between two completions; zero before the minimum number of completions. It grows while no
     * request completes, because it is measured up to @p now.
     */
    boot_clock::duration interval(time_point now) const;

private:
    static constexpr std::size_t windowSize = 24; ///< Completions averaged: a third of a second at 70 per second.
    static constexpr std::size_t minCompletions = 4;

    std::deque<time_point> m_completions;
};

} // namespace bronzechute
