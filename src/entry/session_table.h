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
 * The newest state that each client account has seen of each service, for callers that do not carry a session
 * themselves. Entries tell each other, so that a caller may change entries.
 */
class session_table
{
public:
    static constexpr std::chrono::minutes lifetime {10};
    static constexpr std::size_t capacity = 100000;

    /** Keeps the session when it is at least as new as the known one. @returns whether it was newer. */
    bool note(const std::string &account, const std::string &service, const read_session &session, time_point now);

    void forget(const std::string &account, const std::string &service);
    std::optional<read_session> find(const std::string &account, const std::string &service, time_point now) const;

private:
    using key = std::pair<std::string, std::string>; ///< Account and service.

    struct entry
    {
        read_session session;
        time_point notedAt;
    };

    void forgetOld(time_point now);

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<key, entry> m_entries;
    std::deque<std::pair<time_point, key>> m_order; ///< Notes in order of time.
};

} // namespace bronzechute
