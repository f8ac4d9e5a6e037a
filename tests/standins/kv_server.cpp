#include "standins/kv_server.h"

#include "http/http_status.h"
#include "standins/standin_reply.h"

#include <algorithm>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

namespace bronzechute::standins {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds longestWatch {30000};
constexpr std::chrono::milliseconds leaseCheck {100};

std::string percentDecoded(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, hexadecimal));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::string parameter(const http_request &request, std::string_view name)
{
    std::string_view rest = request.query;
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
            return percentDecoded(pair.substr(name.size() + 1));
        }
    }
    return {};
}

std::int64_t numberAfter(const std::string &path, std::size_t prefix)
{
    return std::stoll(path.substr(prefix));
}

} // namespace

result<std::unique_ptr<kv_server>> kv_server::start(std::uint16_t port)
{
    auto server = std::make_unique<kv_server>();
    http_server_options options;
    options.port = port;
    auto listening = http_server::start(options, *server);
    if (!listening) {
        return listening.error();
    }
    server->m_server = std::move(listening.value());
    return server;
}

kv_server::~kv_server()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void kv_server::inject(const json &faults)
{
    const std::scoped_lock lock(m_mutex);
    m_faults.merge(faults);
    m_pageSize = faults.value("page_size", m_pageSize);
    if (faults.value("drop_history", false)) {
        m_state.dropHistory();
    }
    if (faults.value("copy", false)) {
        m_copy = m_state;
    }
    if (faults.value("return_from_copy", false)) {
        const kv_state lost = std::exchange(m_state, m_copy);
        m_state.returnAfter(lost);
    }
    if (faults.value("cut_watches", false) || faults.value("outage", false)) {
        ++m_cutCount;
    }
    m_changed.notify_all();
}

http_reply kv_server::handle(const http_request &request)
{
    try {
        if (request.path == "/standin/stats") {
            const std::scoped_lock lock(m_mutex);
            return jsonReply(statusOk, {{"calls", m_calls}, {"revision", m_state.revision()}});
        }
        if (request.path == "/standin/faults") {
            inject(json::parse(request.body));
            return jsonReply(statusOk, json::object());
        }
        return answerCall(request);
    } catch (const std::exception &problem) {
        return jsonReply(statusBadRequest, {{"problem", problem.what()}});
    }
}

http_reply kv_server::inEra(http_reply reply) const
{
    reply.headers.emplace_back("Store-Era", std::to_string(m_state.era()));
    return reply;
}

http_reply kv_server::answerCall(const http_request &request)
{
    store_faults faults;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_calls[request.path];
        faults = m_faults;
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.outage) {
        return faults.outageCloses ? cutReply() : jsonReply(statusServiceUnavailable, json::object());
    }
    if (request.path == "/v1/kv-watch") {
        return watch(request);
    }
    http_reply reply;
    bool lose = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_state.expireLeases(boot_clock::now());
        const std::int64_t before = m_state.revision();
        const kv_answer answer = dispatch(request);
        reply = inEra(jsonReply(answer.status, answer.body));
        lose = m_state.revision() != before && m_faults.loseAnswers > 0;
        m_faults.loseAnswers -= lose ? 1 : 0;
        m_changed.notify_all();
    }
    std::this_thread::sleep_for(faults.answerDelay);
    return lose ? cutReply() : reply;
}

kv_answer kv_server::dispatch(const http_request &request)
{
    constexpr std::string_view keep = "/v1/kv-keep/";
    constexpr std::string_view end = "/v1/kv-lease-end/";
    if (request.path == "/v1/kv-key") {
        return m_state.get(parameter(request, "key"));
    }
    if (request.path == "/v1/kv-range") {
        return m_state.range(parameter(request, "prefix"), parameter(request, "after"), m_pageSize);
    }
    if (request.path == "/v1/kv-txn") {
        return m_state.transact(json::parse(request.body));
    }
    if (request.path == "/v1/kv-lease") {
        return m_state.grantLease(json::parse(request.body));
    }
    if (request.path.starts_with(keep)) {
        return m_state.keepAlive(numberAfter(request.path, keep.size()));
    }
    if (request.path.starts_with(end)) {
        return m_state.endLease(numberAfter(request.path, end.size()));
    }
    return {statusNotFound, json::object()};
}

http_reply kv_server::watch(const http_request &request)
{
    const std::string prefix = parameter(request, "prefix");
    const std::int64_t after = std::stoll(parameter(request, "after"));
    const std::chrono::milliseconds wait(std::stoll(parameter(request, "wait_ms")));
    const time_point end = boot_clock::now() + std::min(wait, longestWatch);
    std::unique_lock lock(m_mutex);
    const int cutCount = m_cutCount;
    for (;;) {
        m_state.expireLeases(boot_clock::now());
        const auto events = m_state.eventsAfter(prefix, after);
        if (!events) {
            return inEra(jsonReply(statusGone, json::object()));
        }
        const time_point now = boot_clock::now();
        if (!events->empty() || now >= end) {
            return inEra(jsonReply(statusOk, {{"events", *events}, {"at", m_state.revision()}}));
        }
        m_changed.wait_until(lock, std::min(end, now + leaseCheck));
        if (m_stopping || cutCount != m_cutCount) {
            return cutReply();
        }
    }
}

} // namespace bronzechute::standins
