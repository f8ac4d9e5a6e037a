#pragma once

#include "base/boot_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace bronzechute::bench {

/**
 * The moments at which an engine with a fixed step ends its steps, estimated from the arrivals of its tokens: the
 * earliest arrivals, modulo the step, are those with the least delay on the way.
 */
class step_clock_phase
{
public:
    /** @param arrivals of tokens of one engine, at least one */
    step_clock_phase(const std::vector<time_point> &arrivals, std::chrono::nanoseconds step) : m_step(step)
    {
        std::vector<std::chrono::nanoseconds> offsets;
        offsets.reserve(arrivals.size());
        for (const time_point arrival : arrivals) {
            offsets.push_back(arrival.time_since_epoch() % step);
        }
        std::ranges::sort(offsets);
        // The offsets lie on a circle. The earliest one follows the widest gap.
        std::chrono::nanoseconds widest = offsets.front() + step - offsets.back();
        m_phase = offsets.front();
        for (std::size_t index = 1; index < offsets.size(); ++index) {
            if (offsets[index] - offsets[index - 1] > widest) {
                widest = offsets[index] - offsets[index - 1];
                m_phase = offsets[index];
            }
        }
    }

    /** @returns the end of the last step before a moment. */
    time_point stepBefore(time_point moment) const
    {
        const auto since = (moment.time_since_epoch() - m_phase) % m_step;
        return moment - since;
    }

private:
    std::chrono::nanoseconds m_step;
    std::chrono::nanoseconds m_phase {0};
};

} // namespace bronzechute::bench
