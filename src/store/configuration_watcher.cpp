#include "store/configuration_watcher.h"

#include "base/request_id.h"
#include "config/configuration_parser.h"
#include "observe/log.h"
#include "store/store_paths.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds checkRetryInterval {500};

} // namespace

configuration_watcher::configuration_watcher(platform_store &store, configuration_holder &holder, std::uint64_t seed,
                                             std::chrono::milliseconds checkInterval)
    : m_store(store), m_holder(holder), m_checkInterval(checkInterval), m_random(seed)
{
    m_thread = std::thread([this] { run(); });
    m_watch = m_store.watch(store_paths::currentConfiguration, [this](const store_event &event) { onEvent(event); });
}

configuration_watcher::~configuration_watcher()
{
    m_watch.reset();
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

configuration_watcher_counts configuration_watcher::counts() const
{
    return {m_storeBehind, m_storeDiverged, m_unreadable, m_writtenBack};
}

std::optional<time_point> configuration_watcher::lastContact() const
{
    const std::scoped_lock lock(m_mutex);
    return m_lastContact;
}

void configuration_watcher::recordContact()
{
    const std::scoped_lock lock(m_mutex);
    m_lastContact = boot_clock::now();
}

void configuration_watcher::onEvent(const store_event &event)
{
    if (event.entry.key != store_paths::currentConfiguration) {
        return;
    }
    recordContact();
    auto stored =
        event.deleted ? result<configuration_envelope>(configuration_envelope()) : parseEnvelope(event.entry.value);
    if (stored && m_holder.apply(stored.value(), configuration_source::store)) {
        return;
    }
    const configuration_ptr held = m_holder.current();
    if (!stored || stored.value().revision != held->revision || stored.value().writeId != held->writeId) {
        const std::scoped_lock lock(m_mutex);
        m_checkRequested = true;
        m_wake.notify_all();
    }
}

void configuration_watcher::run()
{
    std::chrono::milliseconds wait = m_checkInterval;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_for(lock, wait, [this] { return m_checkRequested || m_stopping; });
        if (m_stopping) {
            return;
        }
        m_checkRequested = false;
        lock.unlock();
        wait = check() ? m_checkInterval : std::min(m_checkInterval, checkRetryInterval);
        lock.lock();
    }
}

bool configuration_watcher::check()
{
    const auto entry = m_store.get(store_paths::currentConfiguration);
    if (!entry) {
        if (!std::exchange(m_outageLogged, true)) {
            logLine(log_level::warn, "store", "store unreachable; keeping the active configuration",
                    {{"peer", entry.error().peer}, {"error", entry.error().toString()}});
        }
        return false;
    }
    if (std::exchange(m_outageLogged, false)) {
        logLine(log_level::info, "store", "store reachable again");
    }
    recordContact();
    const std::int64_t modRevision = entry.value() ? entry.value()->modRevision : 0;
    const auto stored =
        entry.value() ? parseEnvelope(entry.value()->value) : result<configuration_envelope>(configuration_envelope());
    if (!stored) {
        // A newer version of the program may have written the document, so it must not be overwritten.
        ++m_unreadable;
        return true;
    }
    m_holder.apply(stored.value(), configuration_source::store);
    const configuration_ptr held = m_holder.current();
    if (stored.value().revision > held->revision) {
        return false; // The holder changed concurrently.
    }
    if (stored.value().revision < held->revision) {
        ++m_storeBehind;
        return restore(*held, modRevision);
    }
    if (stored.value().writeId != held->writeId) {
        // The store was rolled back and then accepted another change under the same revision. The document of this
        // process is written as the next revision, so that all processes converge on it.
        ++m_storeDiverged;
        configuration_envelope successor = *held;
        ++successor.revision;
        successor.writeId = request_id::generate(m_random).toString();
        if (!restore(successor, modRevision)) {
            return false;
        }
        m_holder.apply(std::move(successor), configuration_source::store);
    }
    return true;
}

bool configuration_watcher::restore(const configuration_envelope &document, std::int64_t currentModRevision)
{
    const std::string historyKey = store_paths::historyKey(document.revision);
    const auto history = m_store.get(historyKey);
    if (!history) {
        return false;
    }
    const std::string value = serializeEnvelope(document);
    const std::int64_t historyModRevision = history.value() ? history.value()->modRevision : 0;
    // After a conflict or an unknown outcome the next check reads the store again.
    const auto written = m_store.compareAndSwapAll({{store_paths::currentConfiguration, currentModRevision, value, 0},
                                                    {historyKey, historyModRevision, value, 0}});
    if (written) {
        ++m_writtenBack;
    }
    return static_cast<bool>(written);
}

} // namespace bronzechute
