#pragma once

#include "base/ranked_mutex.h"
#include "quarantine/crash_evidence.h"
#include "store/platform_store.h"

#include <condition_variable>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute {

/**
 * Keeps the quarantined prompt parts in the platform's store, from where gateways that start read them when no other
 * gateway runs. Suspicions are not kept. It is written once for all gateways: each reads before it writes, after a
 * random time. All calls of the store are made by a thread of this object, which goes on until the store is reachable.
 */
class quarantine_record
{
public:
    using listener = std::function<void(const crash_evidence &)>;

    /**
     * @param store must outlive this object
     * @param onRead called from the thread of this object with what the store holds
     */
    quarantine_record(platform_store &store, std::string key, listener onRead);
    ~quarantine_record();

    /** Writes what changed since the last call, as soon as the store is reachable. */
    void save(crash_evidence evidence);

private:
    void run();
    bool waitForWork();
    bool pauseBeforeRetry();
    bool synchronize();

    platform_store &m_store;
    const std::string m_key;
    const listener m_onRead;
    std::mt19937_64 m_random;
    bool m_loaded = false; ///< Accessed only by the thread.
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    bool m_stopping = false;
    std::optional<crash_evidence> m_pending;
    std::thread m_thread;
};

/** @returns the quarantined parts as text, with Unix times, as they hold for gateways that have not started yet. */
std::string encodeQuarantineRecord(const std::vector<quarantined_part> &entries, time_point now,
                                   std::chrono::system_clock::time_point wallClock);

/** @returns the parts whose quarantine is not over; none if the text is not a record. */
std::vector<quarantined_part> decodeQuarantineRecord(const std::string &text, time_point now,
                                                     std::chrono::system_clock::time_point wallClock);

} // namespace bronzechute
