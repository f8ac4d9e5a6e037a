#pragma once

#include "base/boot_clock.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** A status with the JSON body of an answer. */
struct kv_answer
{
    int status = 200;
    nlohmann::json body;
};

/** Items, history and leases of the stand-in of the users' key-value store. Not thread safe. */
class kv_state
{
public:
    using json = nlohmann::json;

    /** @returns the item, or status 404. */
    kv_answer get(const std::string &key) const;

    /** @param after the last key of the page before; empty for the first page */
    kv_answer range(const std::string &prefix, const std::string &after, std::size_t pageSize) const;

    /** @returns the events after a revision, which may be none; nothing when that history was dropped. */
    std::optional<json> eventsAfter(const std::string &prefix, std::int64_t revision) const;

    kv_answer transact(const json &request);
    kv_answer grantLease(const json &request);
    kv_answer keepAlive(std::int64_t lease);
    kv_answer endLease(std::int64_t lease);

    /** Ends the leases whose time is over. */
    void expireLeases(time_point now);

    void dropHistory();

    /**
     * Makes this state, a copy of the other one from earlier, what a store has that comes back from it: with the same
     * counters, so that revisions and leases are given out again.
     */
    void returnAfter(const kv_state &lost)
    {
        m_era = lost.m_era + 1;
    }

    /** @returns how often the store has come back from a copy, from 1 on. */
    std::int64_t era() const
    {
        return m_era;
    }

    std::int64_t revision() const
    {
        return m_revision;
    }

private:
    struct lease
    {
        std::chrono::milliseconds timeToLive {0};
        time_point end;
    };

    struct change
    {
        std::int64_t revision = 0;
        std::string key;
        json event;
    };

    bool holds(const json &condition) const;
    void put(const json &item);
    void remove(const std::string &key);
    void removeKeysOf(std::int64_t lease);

    std::int64_t m_era = 1;
    std::int64_t m_revision = 1;
    std::int64_t m_droppedUntil = 0; ///< Events up to this revision are not kept.
    std::map<std::string, json> m_items;
    std::vector<change> m_history;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastLease = 0;
};

} // namespace bronzechute::standins
