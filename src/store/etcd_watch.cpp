#include "store/etcd_watch.h"

#include "base/boot_clock.h"
#include "store/etcd_messages.h"

#include <algorithm>
#include <mutex>

namespace bronzechute {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds maxReconnectDelay {2000};

// Large enough for a transaction of maxBatchSize values of one megabyte each, in base64.
constexpr std::size_t maxMessageBytes = std::size_t {256} * 1024 * 1024;

} // namespace

etcd_watch::etcd_watch(std::shared_ptr<etcd_connection> connection, std::string prefix,
                       std::function<void(const store_event &)> onEvent)
    : m_connection(std::move(connection)), m_prefix(std::move(prefix)), m_onEvent(std::move(onEvent))
{
    m_thread = std::thread([this] { run(); });
}

etcd_watch::~etcd_watch()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_stopChanged.notify_all();
    m_reader.stop();
    m_thread.join();
}

bool etcd_watch::waitUnlessStopping(milliseconds time)
{
    std::unique_lock lock(m_mutex);
    return !m_stopChanged.wait_for(lock, time, [this] { return m_stopping; });
}

void etcd_watch::run()
{
    milliseconds delay = m_connection->options().reconnectDelay;
    do {
        const time_point begin = boot_clock::now();
        const auto listedRevision = reportListing();
        if (listedRevision) {
            streamChanges(listedRevision.value());
        }
        // A watch that was connected for a while is reopened without backoff.
        const bool wasConnected = listedRevision && boot_clock::now() - begin > maxReconnectDelay;
        delay = wasConnected ? m_connection->options().reconnectDelay : std::min(delay * 2, maxReconnectDelay);
    } while (waitUnlessStopping(delay / 2));
}

result<std::int64_t> etcd_watch::reportListing()
{
    const auto answer =
        m_connection->call("/v3/kv/range", etcd::prefixRequest(m_prefix), etcd_connection::call_kind::idempotent);
    if (!answer) {
        return answer.error();
    }
    const auto entries = etcd::parseEntries(answer.value());
    if (!entries) {
        return entries.error();
    }
    const std::int64_t revision = etcd::headerRevision(answer.value());
    std::set<std::string> deletedKeys = m_reportedKeys;
    std::vector<store_event> events;
    for (const store_entry &entry : entries.value()) {
        deletedKeys.erase(entry.key);
        events.push_back({false, entry});
    }
    for (const std::string &key : deletedKeys) {
        events.push_back({true, {key, {}, revision}});
    }
    report(std::move(events));
    return revision;
}

void etcd_watch::streamChanges(std::int64_t listedRevision)
{
    const std::string endpoint = m_connection->preferredEndpoint();
    http_call call;
    call.method = "POST";
    call.url = endpoint + "/v3/watch";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = etcd::watchRequest(m_prefix, listedRevision + 1).dump();
    call.connectTimeout = m_connection->options().connectTimeout;
    m_buffer.clear();
    const auto ended =
        m_reader.run(call, m_connection->options().watchIdleTimeout,
                     [this, listedRevision](std::string_view data) { return handleData(data, listedRevision); });
    if (!ended && ended.error().code != errc::cancelled) {
        m_connection->advanceEndpoint(endpoint);
    }
}

bool etcd_watch::handleData(std::string_view data, std::int64_t listedRevision)
{
    m_buffer.append(data);
    std::size_t begin = 0;
    for (std::size_t end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', begin)) {
        if (!handleMessage(std::string_view(m_buffer).substr(begin, end - begin), listedRevision)) {
            return false;
        }
        begin = end + 1;
    }
    m_buffer.erase(0, begin);
    return m_buffer.size() < maxMessageBytes;
}

bool etcd_watch::handleMessage(std::string_view line, std::int64_t listedRevision)
{
    const json message = json::parse(line, nullptr, false);
    const json &body = etcd::field(message, "result");
    if (!body.is_object() || etcd::field(body, "canceled") == true) {
        return false;
    }
    // A store rolled back to before the listing would send no events until it reaches the listed revision again.
    if (etcd::field(body, "created") == true && etcd::headerRevision(body) < listedRevision) {
        return false;
    }
    std::vector<store_event> events;
    for (const json &event : etcd::field(body, "events")) {
        auto entry = etcd::parseEntry(etcd::field(event, "kv"));
        if (!entry) {
            return false;
        }
        events.push_back({etcd::field(event, "type") == "DELETE", std::move(entry.value())});
    }
    report(std::move(events));
    return true;
}

void etcd_watch::report(std::vector<store_event> events)
{
    for (store_event &event : events) {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_stopping) {
                return;
            }
        }
        if (event.deleted) {
            m_reportedKeys.erase(event.entry.key);
        } else {
            m_reportedKeys.insert(event.entry.key);
        }
        event.moreFollow = &event != &events.back();
        m_onEvent(event);
    }
}

} // namespace bronzechute
