#include "store/deferred_deletions.h"

#include <utility>

namespace bronzechute {

namespace {

// Live processes whose leases expired during an outage write their keys again within about two seconds of its end.
constexpr std::chrono::milliseconds recoveryTime {2000};

} // namespace

void deferred_deletions::onOutage()
{
    m_outage = true;
    m_recoveryEnd.reset();
}

void deferred_deletions::onAnswer(time_point now)
{
    m_answeredAt = now;
    if (m_outage) {
        m_outage = false;
        m_recoveryEnd = now + recoveryTime;
    }
}

bool deferred_deletions::recovering() const
{
    return m_outage || (m_recoveryEnd && m_answeredAt < *m_recoveryEnd);
}

void deferred_deletions::defer(store_event deletion)
{
    const std::string key = deletion.entry.key;
    m_deferred.insert_or_assign(key, std::move(deletion));
}

void deferred_deletions::onWritten(const std::string &key)
{
    m_deferred.erase(key);
}

std::vector<store_event> deferred_deletions::takeConfirmed()
{
    std::vector<store_event> confirmed;
    if (recovering()) {
        return confirmed;
    }
    for (auto &[key, deletion] : std::exchange(m_deferred, {})) {
        confirmed.push_back(std::move(deletion));
    }
    return confirmed;
}

std::optional<time_point> deferred_deletions::dueAt() const
{
    return m_deferred.empty() ? std::nullopt : m_recoveryEnd;
}

} // namespace bronzechute
