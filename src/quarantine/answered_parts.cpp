#include "quarantine/answered_parts.h"

#include <algorithm>

namespace bronzechute {

answered_parts::answer_times &answered_parts::recent(const std::string &part, time_point now)
{
    if (m_recent.size() >= maxParts / 2 || now - m_recentSince > lifetime / 2) {
        m_earlier = std::move(m_recent);
        m_recent.clear();
        m_recentSince = now;
    }
    return m_recent[part];
}

void answered_parts::recordBeginning(const std::string &part, time_point at, time_point now)
{
    answer_times &known = recent(part, now);
    known.beginning = std::max(known.beginning, at);
}

void answered_parts::recordWhole(const std::string &part, time_point at, time_point now)
{
    answer_times &known = recent(part, now);
    known.beginning = std::max(known.beginning, at);
    known.whole = std::max(known.whole, at);
}

std::optional<time_point> answered_parts::lastAnswer(const std::string &part) const
{
    return latest(part, &answer_times::beginning);
}

std::optional<time_point> answered_parts::lastWholeAnswer(const std::string &part) const
{
    return latest(part, &answer_times::whole);
}

std::optional<time_point> answered_parts::latest(const std::string &part, time_point answer_times::*time) const
{
    time_point last = time_point::min();
    for (const part_times *times : {&m_recent, &m_earlier}) {
        if (const auto found = times->find(part); found != times->end()) {
            last = std::max(last, found->second.*time);
        }
    }
    return last == time_point::min() ? std::nullopt : std::optional(last);
}

} // namespace bronzechute
