#include "standins/store_watch_source.h"

#include "standins/etcd_fields.h"

#include <algorithm>
#include <cstring>
#include <mutex>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

constexpr auto progressInterval = 1s;

} // namespace

store_watch_source::store_watch_source(store_server &server, std::string key, std::string rangeEnd,
                                       std::int64_t startRevision)
    : m_server(server)
    , m_key(std::move(key))
    , m_rangeEnd(std::move(rangeEnd))
    , m_nextRevision(startRevision == 0 ? server.m_state.revision() + 1 : startRevision)
    , m_silenceCount(server.m_silenceCount)
    , m_closeCount(server.m_closeCount)
{
    ++m_server.m_openWatches;
    appendMessage({{"header", m_server.m_state.header()}, {"created", true}});
}

void store_watch_source::appendMessage(nlohmann::json message)
{
    m_pending += nlohmann::json {{"result", std::move(message)}}.dump() + "\n";
}

void store_watch_source::collectEvents(time_point now)
{
    const auto &history = m_server.m_state.history();
    auto it = std::ranges::lower_bound(history, m_nextRevision, {}, &store_change_record::revision);
    nlohmann::json events = nlohmann::json::array();
    for (; it != history.end() && it->at + m_server.m_faults.holdEvents <= now; ++it) {
        m_nextRevision = it->revision + 1;
        if (inRange(it->key, m_key, m_rangeEnd)) {
            nlohmann::json event = {{"kv", store_state::toJson(*it)}};
            if (it->deleted) {
                event["type"] = "DELETE";
            }
            events.push_back(std::move(event));
        }
    }
    if (!events.empty()) {
        appendMessage({{"header", m_server.m_state.header()}, {"events", std::move(events)}});
    }
}

ssize_t store_watch_source::read(char *buffer, std::size_t capacity)
{
    std::unique_lock lock(m_server.m_mutex);
    for (;;) {
        if (m_server.m_stopping || m_closeCount != m_server.m_closeCount) {
            return broken;
        }
        const time_point now = boot_clock::now();
        if (m_silenceCount != m_server.m_silenceCount) {
            countOnce();
            m_server.m_changed.wait_for(lock, progressInterval);
            continue;
        }
        m_server.m_state.expireLeases(now);
        collectEvents(now);
        if (m_pending.empty() && now - m_lastSent >= progressInterval) {
            nlohmann::json header = m_server.m_state.header();
            header["revision"] = std::to_string(m_nextRevision - 1);
            appendMessage({{"header", std::move(header)}});
        }
        if (!m_pending.empty()) {
            const std::size_t count = std::min(capacity, m_pending.size());
            std::memcpy(buffer, m_pending.data(), count);
            m_pending.erase(0, count);
            m_lastSent = now;
            return static_cast<ssize_t>(count);
        }
        // Short enough for held events and lapsing leases to be noticed.
        m_server.m_changed.wait_for(lock, 20ms);
    }
}

void store_watch_source::countOnce()
{
    if (m_counted) {
        m_counted = false;
        --m_server.m_openWatches;
    }
}

void store_watch_source::onClosed()
{
    const std::scoped_lock lock(m_server.m_mutex);
    countOnce();
}

} // namespace bronzechute::standins
