#include "standins/store_server.h"

#include "standins/etcd_fields.h"
#include "standins/standin_reply.h"
#include "standins/store_refusal.h"
#include "standins/store_watch_source.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace bronzechute::standins {

namespace {

using json = nlohmann::json;

constexpr int unavailableCode = 14;

http_reply refusalReply(int status, int code, const std::string &message)
{
    return jsonReply(status, {{"error", message}, {"code", code}, {"message", message}});
}

bool isWrite(const std::string &kind)
{
    return kind == "txn" || kind == "put" || kind == "deleterange";
}

const std::map<std::string, std::string> kindOfPath = {
    {"/v3/kv/range", "range"},
    {"/v3/kv/txn", "txn"},
    {"/v3/kv/put", "put"},
    {"/v3/kv/deleterange", "deleterange"},
    {"/v3/lease/grant", "lease_grant"},
    {"/v3/lease/keepalive", "lease_keepalive"},
    {"/v3/lease/revoke", "lease_revoke"},
    {"/v3/watch", "watch"},
};

} // namespace

result<std::unique_ptr<store_server>> store_server::start(std::uint16_t port)
{
    auto server = std::make_unique<store_server>();
    http_server_options options;
    options.port = port;
    auto listening = http_server::start(options, *server);
    if (!listening) {
        return listening.error();
    }
    server->m_server = std::move(listening.value());
    return server;
}

store_server::~store_server()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void store_server::inject(const json &faults)
{
    const std::scoped_lock lock(m_mutex);
    m_faults.merge(faults);
    if (faults.value("lapse_leases", false)) {
        m_state.lapseAllLeases();
    }
    if (faults.contains("rollback")) {
        m_state.rollback(int64Field(faults, "rollback"));
        ++m_closeCount;
    }
    if (faults.value("silence_watches", false)) {
        ++m_silenceCount;
    }
    if (faults.value("outage", false)) {
        ++m_closeCount;
    }
    m_changed.notify_all();
}

json store_server::stats()
{
    const std::scoped_lock lock(m_mutex);
    return {
        {"calls", m_calls}, {"writes", m_writes}, {"open_watches", m_openWatches}, {"revision", m_state.revision()}};
}

http_reply store_server::handle(const http_request &request)
{
    try {
        if (request.path == "/standin/stats") {
            return jsonReply(200, stats());
        }
        const json body = json::parse(request.body);
        if (request.path == "/standin/faults") {
            inject(body);
            return jsonReply(200, json::object());
        }
        const auto kind = kindOfPath.find(request.path);
        if (kind == kindOfPath.end() || request.method != "POST") {
            return refusalReply(404, 5, "Not Found");
        }
        return answerCall(kind->second, body);
    } catch (const store_refusal &refusal) {
        return refusalReply(refusal.status, refusal.code, refusal.what());
    } catch (const std::exception &problem) {
        return refusalReply(400, 3, problem.what());
    }
}

http_reply store_server::answerCall(const std::string &kind, const json &request)
{
    store_faults faults;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_calls[kind];
        faults = m_faults;
        if (isWrite(kind) && faults.writesPerSecond > 0) {
            const time_point now = boot_clock::now();
            m_nextWrite = std::max(m_nextWrite, now);
            faults.delay += std::chrono::ceil<std::chrono::milliseconds>(m_nextWrite - now);
            m_nextWrite += std::chrono::nanoseconds(std::chrono::seconds(1)) / faults.writesPerSecond;
        }
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.outage) {
        return faults.outageCloses ? cutReply() : refusalReply(503, unavailableCode, "etcdserver: no leader");
    }
    if (kind == "watch") {
        return openWatch(request);
    }
    json answer;
    bool lose = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_state.expireLeases(boot_clock::now());
        const std::int64_t before = m_state.revision();
        answer = dispatch(kind, request);
        if (isWrite(kind)) {
            ++m_writes;
            lose = m_state.revision() != before && m_faults.loseAnswers > 0;
            m_faults.loseAnswers -= lose ? 1 : 0;
        }
        m_changed.notify_all();
    }
    std::this_thread::sleep_for(faults.answerDelay);
    return lose ? cutReply() : jsonReply(200, answer);
}

json store_server::dispatch(const std::string &kind, const json &request)
{
    if (kind == "range") {
        json answer = m_state.range(request);
        return answer;
    }
    if (kind == "txn") {
        return m_state.txn(request);
    }
    if (kind == "put") {
        return m_state.put(request);
    }
    if (kind == "deleterange") {
        return m_state.deleteRange(request);
    }
    if (kind == "lease_grant") {
        return m_state.grantLease(request);
    }
    return kind == "lease_keepalive" ? m_state.keepAlive(request) : m_state.revokeLease(request);
}

http_reply store_server::openWatch(const json &request)
{
    const json &create = request.at("create_request");
    const std::scoped_lock lock(m_mutex);
    auto source = std::make_shared<store_watch_source>(
        *this, bytesField(create, "key"), bytesField(create, "range_end"), int64Field(create, "start_revision"));
    return {200, {{"Content-Type", "application/json"}}, {}, std::move(source)};
}

} // namespace bronzechute::standins
