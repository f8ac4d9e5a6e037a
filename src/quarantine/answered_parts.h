#pragma once

#include "base/boot_clock.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace bronzechute {

/** Remembers when a request with a prompt part was last answered. Holds a bounded number of parts; old ones expire. */
class answered_parts
{
public:
    void record(const std::string &part, time_point at, time_point now);

    /** @returns the time of the last answer, or nothing if none is remembered. */
    std::optional<time_point> lastAnswer(const std::string &part) const;

    std::size_t size() const
    {
        return m_recent.size() + m_earlier.size();
    }

    static constexpr std::size_t maxParts = 65536;
    static constexpr std::chrono::minutes lifetime {10}; ///< At least half of it.

private:
    using part_times = std::unordered_map<std::string, time_point>;

    part_times m_recent;
    part_times m_earlier; ///< Recorded before all of m_recent; dropped as a whole.
    time_point m_recentSince {};
};

} // namespace bronzechute
