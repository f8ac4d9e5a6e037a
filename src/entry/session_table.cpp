#include "entry/session_table.h"

#include <mutex>

namespace bronzechute {

bool session_table::note(const std::string &account, const std::string &service, const read_session &session,
                         time_point now)
{
    const std::scoped_lock lock(m_mutex);
    forgetOld(now);
    const auto [position, inserted] = m_entries.try_emplace(key(account, service));
    const bool newer = inserted || session.version > position->second.session.version;
    if (!newer && session.version < position->second.session.version) {
        return false;
    }
    position->second = {session, now};
    m_order.emplace_back(now, position->first);
    return newer;
}

void session_table::forget(const std::string &account, const std::string &service)
{
    const std::scoped_lock lock(m_mutex);
    m_entries.erase(key(account, service));
}

std::optional<read_session> session_table::find(const std::string &account, const std::string &service,
                                                time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_entries.find(key(account, service));
    if (position == m_entries.end() || now - position->second.notedAt > lifetime) {
        return std::nullopt;
    }
    return position->second.session;
}

void session_table::forgetOld(time_point now)
{
    while (!m_order.empty() && (now - m_order.front().first > lifetime || m_entries.size() > capacity)) {
        const auto position = m_entries.find(m_order.front().second);
        // A later note of the same key has its own place in the order.
        if (position != m_entries.end() && position->second.notedAt <= m_order.front().first) {
            m_entries.erase(position);
        }
        m_order.pop_front();
    }
}

} // namespace bronzechute
