#include "standins/kv_state.h"

#include "http/http_status.h"

#include <algorithm>

namespace bronzechute::standins {

namespace {

constexpr std::size_t entryLimit = 32;

} // namespace

kv_answer kv_state::get(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {statusNotFound, json::object()};
    }
    json body = found->second;
    body["at"] = m_revision;
    return {statusOk, body};
}

kv_answer kv_state::range(const std::string &prefix, const std::string &after, std::size_t pageSize) const
{
    json items = json::array();
    bool more = false;
    for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
         item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (items.size() == pageSize) {
            more = true;
            break;
        }
        items.push_back(item->second);
    }
    return {statusOk, {{"items", items}, {"has_more", more}, {"at", m_revision}}};
}

std::optional<kv_state::json> kv_state::eventsAfter(const std::string &prefix, std::int64_t revision) const
{
    if (revision < m_droppedUntil || revision > m_revision) {
        return std::nullopt;
    }
    json events = json::array();
    for (const change &each : m_history) {
        if (each.revision > revision && each.key.starts_with(prefix)) {
            events.push_back(each.event);
        }
    }
    return events;
}

bool kv_state::holds(const json &condition) const
{
    const auto found = m_items.find(condition.at("key").get<std::string>());
    const std::int64_t current = found == m_items.end() ? 0 : found->second.at("revision").get<std::int64_t>();
    return current == condition.at("revision").get<std::int64_t>();
}

kv_answer kv_state::transact(const json &request)
{
    const json conditions = request.value("precondition", json::array());
    const json puts = request.value("puts", json::array());
    const json removed = request.value("remove", json::array());
    if (std::max({conditions.size(), puts.size(), removed.size()}) > entryLimit) {
        return {statusBadRequest, json::object()};
    }
    if (!std::ranges::all_of(conditions, [this](const json &condition) { return holds(condition); })) {
        json items = json::array();
        for (const json &condition : conditions) {
            const auto found = m_items.find(condition.at("key").get<std::string>());
            if (found != m_items.end()) {
                items.push_back(found->second);
            }
        }
        return {statusPreconditionFailed, {{"items", items}}};
    }
    for (const json &item : puts) {
        const std::int64_t id = item.value("lease", std::int64_t {0});
        if (id != 0 && !m_leases.contains(id)) {
            return {statusNotFound, json::object()};
        }
    }
    if (!puts.empty() || !removed.empty()) {
        ++m_revision;
    }
    std::ranges::for_each(puts, [this](const json &item) { put(item); });
    std::ranges::for_each(removed, [this](const json &key) { remove(key.get<std::string>()); });
    return {statusOk, {{"revision", m_revision}}};
}

void kv_state::put(const json &item)
{
    const std::string key = item.at("key").get<std::string>();
    const auto before = m_items.find(key);
    const json written = {{"key", key},
                          {"value", item.at("value")},
                          {"revision", m_revision},
                          {"created", before == m_items.end() ? json(m_revision) : before->second.at("created")},
                          {"lease", item.value("lease", std::int64_t {0})}};
    m_items[key] = written;
    m_history.push_back({m_revision, key, written});
}

void kv_state::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({m_revision, key, {{"key", key}, {"revision", m_revision}, {"removed", true}}});
    }
}

kv_answer kv_state::grantLease(const json &request)
{
    const std::chrono::milliseconds timeToLive(request.at("ttl_ms").get<std::int64_t>());
    m_leases[++m_lastLease] = {timeToLive, boot_clock::now() + timeToLive};
    return {statusOk, {{"lease", m_lastLease}, {"ttl_ms", timeToLive.count()}}};
}

kv_answer kv_state::keepAlive(std::int64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return {statusNotFound, json::object()};
    }
    found->second.end = boot_clock::now() + found->second.timeToLive;
    return {statusOk, {{"ttl_ms", found->second.timeToLive.count()}}};
}

kv_answer kv_state::endLease(std::int64_t id)
{
    if (m_leases.erase(id) == 0) {
        return {statusNotFound, json::object()};
    }
    removeKeysOf(id);
    return {statusOk, json::object()};
}

void kv_state::removeKeysOf(std::int64_t id)
{
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.at("lease") == id) {
            keys.push_back(key);
        }
    }
    m_revision += keys.empty() ? 0 : 1;
    std::ranges::for_each(keys, [this](const std::string &key) { remove(key); });
}

void kv_state::expireLeases(time_point now)
{
    std::vector<std::int64_t> ended;
    for (const auto &[id, each] : m_leases) {
        if (each.end <= now) {
            ended.push_back(id);
        }
    }
    std::ranges::for_each(ended, [this](std::int64_t id) { endLease(id); });
}

void kv_state::dropHistory()
{
    m_history.clear();
    m_droppedUntil = m_revision;
}

} // namespace bronzechute::standins
