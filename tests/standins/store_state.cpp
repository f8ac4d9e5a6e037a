#include "standins/store_state.h"

#include "standins/etcd_fields.h"
#include "standins/store_refusal.h"
#include "store/base64.h"

#include <algorithm>

namespace bronzechute::standins {

namespace {

using json = nlohmann::json;

constexpr std::size_t valueLimit = std::size_t {1024} * 1024;
constexpr std::size_t operationLimit = 128; // etcd's default --max-txn-ops.
constexpr int invalidArgument = 3;
constexpr int notFound = 5;

const json &arrayField(const json &object, const char *name)
{
    static const json empty = json::array();
    const auto found = object.find(name);
    return found == object.end() ? empty : *found;
}

} // namespace

json store_state::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_revision)}, {"raft_term", "2"}};
}

json store_state::toJson(const store_change_record &record)
{
    json entry = {{"key", encodeBase64(record.key)}, {"mod_revision", std::to_string(record.revision)}};
    if (!record.deleted) {
        entry["create_revision"] = std::to_string(record.createRevision);
        entry["version"] = std::to_string(record.version);
        // The JSON mapping leaves out fields with their default value.
        if (!record.value.empty()) {
            entry["value"] = encodeBase64(record.value);
        }
        if (record.lease != 0) {
            entry["lease"] = std::to_string(record.lease);
        }
    }
    return entry;
}

json store_state::range(const json &request) const
{
    const std::string key = bytesField(request, "key");
    const std::string rangeEnd = bytesField(request, "range_end");
    json entries = json::array();
    for (auto it = m_keys.lower_bound(key); it != m_keys.end() && inRange(it->first, key, rangeEnd); ++it) {
        entries.push_back(toJson(it->second));
    }
    json answer = {{"header", header()}};
    if (!entries.empty()) {
        answer["count"] = std::to_string(entries.size());
        answer["kvs"] = std::move(entries);
    }
    return answer;
}

bool store_state::holds(const json &compare) const
{
    if (compare.value("target", "") != "MOD" || compare.value("result", "EQUAL") != "EQUAL") {
        throw store_refusal(400, invalidArgument, "the stand-in compares mod_revision for equality only");
    }
    const auto found = m_keys.find(bytesField(compare, "key"));
    return (found == m_keys.end() ? 0 : found->second.revision) == int64Field(compare, "mod_revision");
}

// All comparisons, those of nested transactions included, are made before any operation is applied, as in etcd.
json store_state::chooseBranch(const json &request, std::vector<const json *> &operations) const
{
    const json &compares = arrayField(request, "compare");
    const bool succeeded = std::ranges::all_of(compares, [this](const json &compare) { return holds(compare); });
    const json &branch = arrayField(request, succeeded ? "success" : "failure");
    if (std::max(compares.size(), branch.size()) > operationLimit) {
        throw store_refusal(400, invalidArgument, "etcdserver: too many operations in txn request");
    }
    json plan = {{"succeeded", succeeded}, {"steps", json::array()}};
    for (const json &operation : branch) {
        if (operation.contains("request_txn")) {
            plan["steps"].push_back(chooseBranch(operation["request_txn"], operations));
        } else {
            plan["steps"].push_back(operations.size());
            operations.push_back(&operation);
        }
    }
    return plan;
}

void store_state::checkOperations(const std::vector<const json *> &operations) const
{
    std::set<std::string> written;
    for (const json *operation : operations) {
        const auto found = operation->find("request_put");
        if (found == operation->end()) {
            continue;
        }
        if (!written.insert(bytesField(*found, "key")).second) {
            throw store_refusal(400, invalidArgument, "etcdserver: duplicate key given in txn request");
        }
        if (bytesField(*found, "value").size() > valueLimit) {
            throw store_refusal(400, invalidArgument, "etcdserver: request is too large");
        }
        const std::int64_t id = int64Field(*found, "lease");
        if (id != 0 && !m_leases.contains(id)) {
            throw store_refusal(404, notFound, "etcdserver: requested lease not found");
        }
    }
}

json store_state::txn(const json &request)
{
    std::vector<const json *> operations;
    const json plan = chooseBranch(request, operations);
    checkOperations(operations);
    const std::size_t before = m_history.size();
    ++m_revision;
    std::vector<json> answers;
    std::ranges::transform(operations, std::back_inserter(answers),
                           [this](const json *operation) { return apply(*operation); });
    if (m_history.size() == before) {
        --m_revision;
    }
    const auto assemble = [&answers](const auto &self, const json &branch) -> json {
        json answer = json::object();
        if (branch["succeeded"].get<bool>()) {
            answer["succeeded"] = true;
        }
        for (const json &step : branch["steps"]) {
            answer["responses"].push_back(step.is_number() ? answers[step.get<std::size_t>()]
                                                           : json {{"response_txn", self(self, step)}});
        }
        return answer;
    };
    json answer = assemble(assemble, plan);
    answer["header"] = header();
    return answer;
}

json store_state::apply(const json &operation)
{
    if (operation.contains("request_put")) {
        writeKey(operation["request_put"]);
        return {{"response_put", json::object()}};
    }
    if (operation.contains("request_delete_range")) {
        const std::int64_t count = eraseKeys(operation["request_delete_range"]);
        return {{"response_delete_range", {{"deleted", std::to_string(count)}}}};
    }
    return {{"response_range", range(operation.value("request_range", json::object()))}};
}

json store_state::put(const json &request)
{
    txn({{"success", {json {{"request_put", request}}}}});
    return {{"header", header()}};
}

json store_state::deleteRange(const json &request)
{
    const json operation = {{"request_delete_range", request}};
    const json answer = txn({{"success", {operation}}});
    return {{"header", header()}, {"deleted", answer["responses"][0]["response_delete_range"]["deleted"]}};
}

void store_state::record(store_change_record change)
{
    change.revision = m_revision;
    change.at = boot_clock::now();
    m_history.push_back(change);
    const auto previous = m_keys.find(change.key);
    if (previous != m_keys.end()) {
        const auto oldLease = m_leases.find(previous->second.lease);
        if (oldLease != m_leases.end()) {
            oldLease->second.keys.erase(change.key);
        }
    }
    if (change.deleted) {
        m_keys.erase(change.key);
        return;
    }
    if (change.lease != 0 && m_leases.contains(change.lease)) {
        m_leases[change.lease].keys.insert(change.key);
    }
    m_keys[change.key] = std::move(change);
}

void store_state::writeKey(const json &request)
{
    store_change_record change;
    change.key = bytesField(request, "key");
    change.value = bytesField(request, "value");
    change.lease = int64Field(request, "lease");
    const auto previous = m_keys.find(change.key);
    change.createRevision = previous == m_keys.end() ? m_revision : previous->second.createRevision;
    change.version = previous == m_keys.end() ? 1 : previous->second.version + 1;
    record(std::move(change));
}

std::int64_t store_state::eraseKeys(const json &request)
{
    const std::string key = bytesField(request, "key");
    const std::string rangeEnd = bytesField(request, "range_end");
    std::vector<std::string> keys;
    for (auto it = m_keys.lower_bound(key); it != m_keys.end() && inRange(it->first, key, rangeEnd); ++it) {
        keys.push_back(it->first);
    }
    for (const std::string &name : keys) {
        store_change_record change;
        change.key = name;
        change.deleted = true;
        record(std::move(change));
    }
    return static_cast<std::int64_t>(keys.size());
}

json store_state::grantLease(const json &request)
{
    const std::int64_t timeToLive = int64Field(request, "TTL");
    const std::int64_t id = ++m_lastLease;
    m_leases[id] = {timeToLive, boot_clock::now() + std::chrono::seconds(timeToLive), {}};
    return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(timeToLive)}};
}

json store_state::keepAlive(const json &request)
{
    const std::int64_t id = int64Field(request, "ID");
    json answer = {{"header", header()}, {"ID", std::to_string(id)}};
    const auto found = m_leases.find(id);
    if (found != m_leases.end()) { // A lapsed lease is reported by a TTL of 0, which the JSON mapping leaves out.
        found->second.end = boot_clock::now() + std::chrono::seconds(found->second.timeToLive);
        answer["TTL"] = std::to_string(found->second.timeToLive);
    }
    return {{"result", answer}};
}

json store_state::revokeLease(const json &request)
{
    const std::int64_t id = int64Field(request, "ID");
    if (!m_leases.contains(id)) {
        throw store_refusal(404, notFound, "etcdserver: requested lease not found");
    }
    dropLease(id);
    return {{"header", header()}};
}

void store_state::dropLease(std::int64_t id)
{
    const std::set<std::string> keys = m_leases[id].keys;
    m_leases.erase(id);
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const std::string &key : keys) {
        eraseKeys({{"key", encodeBase64(key)}});
    }
}

void store_state::expireLeases(time_point now)
{
    std::vector<std::int64_t> ended;
    for (const auto &[id, entry] : m_leases) {
        if (entry.end <= now) {
            ended.push_back(id);
        }
    }
    std::ranges::for_each(ended, [this](std::int64_t id) { dropLease(id); });
}

void store_state::lapseAllLeases()
{
    while (!m_leases.empty()) {
        dropLease(m_leases.begin()->first);
    }
}

void store_state::rollback(std::int64_t revision)
{
    const std::vector<store_change_record> kept = std::move(m_history);
    m_history.clear();
    m_keys.clear();
    m_leases.clear(); // Leases of a restored store are unknown; their keys stay until written again.
    for (const store_change_record &change : kept) {
        if (change.revision <= revision) {
            m_revision = change.revision;
            record(change);
        }
    }
    m_revision = std::max<std::int64_t>(1, revision);
}

} // namespace bronzechute::standins
