#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "entry/read_session.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * The newest state that each client account has seen of each service, for callers that do not send the session header.
 * Entries exchange their records, so that a caller may switch between entries.
 */
class session_table
{
public:
    static constexpr std::chrono::minutes lifetime {10};
    static constexpr std::size_t maxSessions = 100000;

    /** Stores the session unless a newer one is known. @returns whether it is newer than the known one. */
    bool record(const std::string &account, const std::string &service, const read_session &session, time_point now);

    void forget(const std::string &account, const std::string &service);
    std::optional<read_session> find(const std::string &account, const std::string &service, time_point now) const;

private:
    using key = std::pair<std::string, std::string>; ///< Account and service.

    struct stored_session
    {
        read_session session;
        time_point recordedAt;
    };

    void removeExpired(time_point now);

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<key, stored_session> m_sessions;
    std::deque<std::pair<time_point, key>> m_records; ///< Every record in order of time; oldest first.
};

} // namespace bronzechute
