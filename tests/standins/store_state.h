#pragma once

#include "standins/store_change_record.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzechute::standins {

/**
 * Keys, history and leases of the stand-in store, in the JSON mapping of the etcd v3 API. Not thread safe.
 */
class store_state
{
public:
    using json = nlohmann::json;

    json range(const json &request) const;
    json txn(const json &request);
    json put(const json &request);
    json deleteRange(const json &request);
    json grantLease(const json &request);
    json keepAlive(const json &request);
    json revokeLease(const json &request);

    /** Deletes the keys of leases whose time is over. */
    void expireLeases(time_point now);
    void lapseAllLeases();

    /** Forgets every change after the revision, as a store restored from a backup does. */
    void rollback(std::int64_t revision);

    json header() const;
    static json toJson(const store_change_record &record);

    std::int64_t revision() const
    {
        return m_revision;
    }

    const std::vector<store_change_record> &history() const
    {
        return m_history;
    }

private:
    struct lease
    {
        std::int64_t timeToLive = 0;
        time_point end;
        std::set<std::string> keys;
    };

    json chooseBranch(const json &request, std::vector<const json *> &operations) const;
    bool holds(const json &compare) const;
    json apply(const json &operation);
    void checkOperations(const std::vector<const json *> &operations) const;
    void record(store_change_record change);
    void writeKey(const json &request);
    std::int64_t eraseKeys(const json &request);
    void dropLease(std::int64_t id);

    std::int64_t m_revision = 1;
    std::map<std::string, store_change_record> m_keys;
    std::vector<store_change_record> m_history;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastLease = 0;
};

} // namespace bronzechute::standins
