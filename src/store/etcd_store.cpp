#include "store/etcd_store.h"

#include "http/curl_http_client.h"
#include "store/etcd_messages.h"
#include "store/etcd_watch.h"

namespace bronzechute {

namespace {

using nlohmann::json;

constexpr const char *rangePath = "/v3/kv/range";
constexpr const char *transactionPath = "/v3/kv/txn";

bool succeeded(const json &answer)
{
    const json &value = etcd::field(answer, "succeeded");
    return value.is_boolean() && value.get<bool>();
}

error conflictError(const std::string &key)
{
    return {errc::conflict, "store.write", {}, key + " does not have the expected mod revision"};
}

} // namespace

etcd_store::etcd_store(etcd_store_options options)
    : m_connection(std::make_shared<etcd_connection>(std::move(options), std::make_unique<curl_http_client>()))
{
}

result<std::optional<store_entry>> etcd_store::get(const std::string &key)
{
    const auto answer = m_connection->call(rangePath, etcd::rangeRequest(key), etcd_connection::call_kind::idempotent);
    if (!answer) {
        return answer.error();
    }
    auto entries = etcd::parseEntries(answer.value());
    if (!entries) {
        return entries.error();
    }
    if (entries.value().empty()) {
        return std::optional<store_entry>();
    }
    return std::optional<store_entry>(std::move(entries.value().front()));
}

result<std::vector<store_entry>> etcd_store::list(const std::string &prefix)
{
    const auto answer =
        m_connection->call(rangePath, etcd::prefixRequest(prefix), etcd_connection::call_kind::idempotent);
    if (!answer) {
        return answer.error();
    }
    return etcd::parseEntries(answer.value());
}

result<std::int64_t> etcd_store::compareAndSwap(const std::string &key, std::int64_t expectedModRevision,
                                                const std::string &value, lease_id lease)
{
    return compareAndSwapAll({{key, expectedModRevision, value, lease}});
}

result<std::int64_t> etcd_store::compareAndSwapAll(const std::vector<store_write> &writes)
{
    const auto answer =
        m_connection->call(transactionPath, etcd::transactionRequest(writes), etcd_connection::call_kind::write);
    if (!answer) {
        return answer.error();
    }
    if (!succeeded(answer.value())) {
        return conflictError(writes.front().key);
    }
    return etcd::headerRevision(answer.value());
}

std::vector<result<std::int64_t>> etcd_store::compareAndSwapEach(const std::vector<store_write> &writes)
{
    const auto answer =
        m_connection->call(transactionPath, etcd::batchRequest(writes), etcd_connection::call_kind::write);
    if (!answer) {
        return std::vector<result<std::int64_t>>(writes.size(), answer.error());
    }
    const json &responses = etcd::field(answer.value(), "responses");
    if (!responses.is_array() || responses.size() != writes.size()) {
        return std::vector<result<std::int64_t>>(
            writes.size(),
            error {errc::outcome_unknown, "store.write", {}, "the response does not contain a result for every write"});
    }
    std::vector<result<std::int64_t>> results;
    for (std::size_t index = 0; index < writes.size(); ++index) {
        if (succeeded(etcd::field(responses[index], "response_txn"))) {
            results.emplace_back(etcd::headerRevision(answer.value()));
        } else {
            results.emplace_back(conflictError(writes[index].key));
        }
    }
    return results;
}

result<void> etcd_store::compareAndDelete(const std::string &key, std::int64_t expectedModRevision)
{
    const auto answer = m_connection->call(transactionPath, etcd::deleteRequest(key, expectedModRevision),
                                           etcd_connection::call_kind::write);
    if (!answer) {
        return answer.error();
    }
    if (!succeeded(answer.value())) {
        return conflictError(key);
    }
    return success();
}

result<lease_id> etcd_store::grantLease(std::chrono::seconds timeToLive)
{
    // Safe to retry: a lease whose response was lost expires unused.
    const auto answer = m_connection->call("/v3/lease/grant", {{"TTL", std::to_string(timeToLive.count())}},
                                           etcd_connection::call_kind::idempotent);
    if (!answer) {
        return answer.error();
    }
    const lease_id lease = etcd::int64Field(answer.value(), "ID");
    if (lease == 0) {
        return error {errc::protocol_violation, "store.grant_lease", {}, "the response has no lease ID"};
    }
    return lease;
}

result<void> etcd_store::keepAlive(lease_id lease)
{
    const auto answer = m_connection->call("/v3/lease/keepalive", {{"ID", std::to_string(lease)}},
                                           etcd_connection::call_kind::idempotent);
    if (!answer) {
        return answer.error();
    }
    if (etcd::int64Field(etcd::field(answer.value(), "result"), "TTL") <= 0) {
        return error {errc::not_found, "store.keep_alive", {}, "the lease has expired"};
    }
    return success();
}

result<void> etcd_store::revokeLease(lease_id lease)
{
    const auto answer =
        m_connection->call("/v3/lease/revoke", {{"ID", std::to_string(lease)}}, etcd_connection::call_kind::idempotent);
    if (!answer && answer.error().code != errc::not_found) {
        return answer.error();
    }
    return success();
}

std::unique_ptr<store_watch> etcd_store::watch(const std::string &prefix,
                                               std::function<void(const store_event &)> onEvent)
{
    return std::make_unique<etcd_watch>(m_connection, prefix, std::move(onEvent));
}

} // namespace bronzechute
