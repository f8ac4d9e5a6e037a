#include "entry/session_table.h"

#include <mutex>

namespace bronzechute {

bool session_table::record(const std::string &account, const std::string &service, const read_session &session,
                           time_point now)
{
    const std::scoped_lock lock(m_mutex);
    removeExpired(now);
    const auto [position, inserted] = m_sessions.try_emplace(key(account, service));
    const bool newer = inserted || session.version > position->second.session.version;
    if (!newer && session.version < position->second.session.version) {
        return false;
    }
    position->second = {session, now};
    m_records.emplace_back(now, position->first);
    return newer;
}

void session_table::forget(const std::string &account, const std::string &service)
{
    const std::scoped_lock lock(m_mutex);
    m_sessions.erase(key(account, service));
}

std::optional<read_session> session_table::find(const std::string &account, const std::string &service,
                                                time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_sessions.find(key(account, service));
    if (position == m_sessions.end() || now - position->second.recordedAt > lifetime) {
        return std::nullopt;
    }
    return position->second.session;
}

void session_table::removeExpired(time_point now)
{
    while (!m_records.empty() && (now - m_records.front().first > lifetime || m_sessions.size() > maxSessions)) {
        const auto position = m_sessions.find(m_records.front().second);
        // A later record of the same key has its own element in the queue.
        if (position != m_sessions.end() && position->second.recordedAt <= m_records.front().first) {
            m_sessions.erase(position);
        }
        m_records.pop_front();
    }
}

} // namespace bronzechute
