#pragma once

#include "base/ranked_mutex.h"
#include "store/configuration_holder.h"
#include "store/platform_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <thread>

namespace bronzechute {

/** Counters of a configuration_watcher since its start. */
struct configuration_watcher_counts
{
    std::int64_t storeBehind = 0; ///< Alarm: the store held an older document than this process.
    std::int64_t storeDiverged = 0; ///< Alarm: the store held another document of the same revision.
    std::int64_t unreadable = 0; ///< Alarm: the store held a document that this version cannot read.
    std::int64_t writtenBack = 0; ///< Documents that this process restored.

    friend bool operator==(const configuration_watcher_counts &, const configuration_watcher_counts &) = default;
};

/**
 * Feeds a configuration_holder from the store, and restores the holder's document when the store comes back with an
 * older one.
 *
 * A watch brings changes. The store is also read at an interval, which finds a store that came back empty, to which
 * no event belongs. Before anything is restored the current value is read again, because events may be late.
 */
class configuration_watcher
{
public:
    /**
     * @param store must outlive this object
     * @param holder must outlive this object
     * @param seed for the mark of a document that replaces another one of the same revision
     */
    configuration_watcher(platform_store &store, configuration_holder &holder, std::uint64_t seed,
                          std::chrono::milliseconds checkInterval = std::chrono::seconds(10));
    ~configuration_watcher();
    configuration_watcher(const configuration_watcher &) = delete;
    configuration_watcher &operator=(const configuration_watcher &) = delete;

    configuration_watcher_counts counts() const;

    /** @returns when the store's document was last read or reported, or nothing before the first time. */
    std::optional<time_point> lastContact() const;

private:
    void onEvent(const store_event &event);
    void run();
    bool check();
    bool restore(const configuration_envelope &document, std::int64_t currentModRevision);
    void recordContact();

    platform_store &m_store;
    configuration_holder &m_holder;
    const std::chrono::milliseconds m_checkInterval;
    std::mt19937_64 m_random;

    std::atomic<std::int64_t> m_storeBehind {0};
    std::atomic<std::int64_t> m_storeDiverged {0};
    std::atomic<std::int64_t> m_unreadable {0};
    std::atomic<std::int64_t> m_writtenBack {0};

    mutable ranked_mutex m_mutex {lock_rank::store};
    std::condition_variable_any m_wake;
    bool m_checkRequested = true;
    bool m_stopping = false;
    std::optional<time_point> m_lastContact;
    bool m_outageLogged = false; ///< Of the thread that checks; a line for each outage, not for each failed check.
    std::thread m_thread;
    std::unique_ptr<store_watch> m_watch;
};

} // namespace bronzechute
