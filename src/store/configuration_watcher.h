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

/** Counters of a configuration_watcher since its construction. */
struct configuration_watcher_counts
{
    std::int64_t storeBehind = 0; ///< Alarm: the store held an older revision than this process.
    std::int64_t storeDiverged = 0; ///< Alarm: the store held a different document of the same revision.
    std::int64_t unreadable = 0; ///< Alarm: the store held a document that could not be parsed.
    std::int64_t writtenBack = 0; ///< Documents that this process wrote back to the store.

    friend bool operator==(const configuration_watcher_counts &, const configuration_watcher_counts &) = default;
};

/**
 * Applies configurations from the store to a configuration_holder, and writes the holder's document back when the store
 * was rolled back to an older one.
 *
 * Changes arrive through a watch. The store is also polled at an interval, because a store that comes back empty sends
 * no event. The current value is read again before a document is written back, because events may be delayed.
 */
class configuration_watcher
{
public:
    /**
     * @param store must outlive this object
     * @param holder must outlive this object
     * @param seed seeds the write identifiers of documents that replace a diverged one
     * @param checkInterval time between two reads of the store
     */
    configuration_watcher(platform_store &store, configuration_holder &holder, std::uint64_t seed,
                          std::chrono::milliseconds checkInterval = std::chrono::seconds(10));
    ~configuration_watcher();
    configuration_watcher(const configuration_watcher &) = delete;
    configuration_watcher &operator=(const configuration_watcher &) = delete;

    configuration_watcher_counts counts() const;

    /** @returns when the configuration was last read from the store or reported by the watch; nothing before that. */
    std::optional<time_point> lastContact() const;

private:
    void onEvent(const store_event &event);
    void run();
    /** Compares the store with the holder and resolves differences. @returns false to check again soon. */
    bool check();

    /** Writes the document and its history entry to the store. @returns whether the write succeeded. */
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
    bool m_outageLogged = false; ///< Used only by m_thread; limits the log to one line per outage.
    std::thread m_thread;
    std::unique_ptr<store_watch> m_watch;
};

} // namespace bronzechute
