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
    /** An answer came beyond its beginning. */
    void recordBeginning(const std::string &part, time_point at, time_point now);

    /** An answer came to its end. */
    void recordWhole(const std::string &part, time_point at, time_point now);

    /** @returns when an answer last came beyond its beginning, or to its end; nothing if none is remembered. */
    std::optional<time_point> lastAnswer(const std::string &part) const;

    /** @returns when an answer last came to its end, or nothing if none is remembered. */
    std::optional<time_point> lastWholeAnswer(const std::string &part) const;

    std::size_t size() const
    {
        return m_recent.size() + m_earlier.size();
    }

    static constexpr std::size_t maxParts = 65536;
    static constexpr std::chrono::minutes lifetime {10}; ///< At least half of it.

private:
    struct answer_times
    {
        time_point beginning = time_point::min();
        time_point whole = time_point::min();
    };
    using part_times = std::unordered_map<std::string, answer_times>;

    /** @returns the recent times of a part, which are kept until later ones have taken their place. */
    answer_times &recent(const std::string &part, time_point now);
    std::optional<time_point> latest(const std::string &part, time_point answer_times::*time) const;

    part_times m_recent;
    part_times m_earlier; ///< Recorded before all of m_recent; dropped as a whole.
    time_point m_recentSince {};
};

} // namespace bronzechute
