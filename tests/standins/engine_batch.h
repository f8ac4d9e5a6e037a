#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "standins/engine_batch_stats.h"
#include "standins/engine_sequence.h"
#include "standins/fault_board.h"
#include "standins/model_engine_options.h"
#include "standins/prefix_cache.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/**
 * Continuous batching on a step clock: each step adds one token to every running sequence. One thread.
 */
class engine_batch
{
public:
    engine_batch(const model_engine_options &options, fault_board &faults);
    ~engine_batch();
    engine_batch(const engine_batch &) = delete;
    engine_batch &operator=(const engine_batch &) = delete;

    void add(const std::shared_ptr<engine_sequence> &sequence);

    /** Removes a sequence whose client has left and counts it; without effect when it is complete. */
    void cancel(const std::shared_ptr<engine_sequence> &sequence);

    /** Makes the engine cold until so many further requests are complete. */
    void turnCold(int requests);

    engine_batch_stats stats();

    /** @returns the stats as they were metricsLag ago. */
    engine_batch_stats laggedStats();

    /** Blocks while the engine has fallen over. */
    void waitWhileFallenOver();

    /** @returns the clients of all sequences. */
    std::vector<std::shared_ptr<engine_sequence>> sequences();

    /** Stops all sequences and the thread. */
    void stop();

private:
    struct snapshot
    {
        time_point when;
        engine_batch_stats stats;
    };

    void run();
    void admit(time_point now);
    void step(time_point now);
    std::chrono::nanoseconds stepTime() const;
    engine_batch_stats current() const;
    void notePeak(time_point now);
    void record(time_point now);

    const model_engine_options m_options;
    fault_board &m_faults;
    ranked_mutex m_mutex {lock_rank::queue};
    std::condition_variable_any m_changed;
    std::deque<std::shared_ptr<engine_sequence>> m_waiting; ///< By priority, then arrival.
    std::vector<std::shared_ptr<engine_sequence>> m_running;
    std::deque<snapshot> m_history;
    prefix_cache m_cache;
    engine_batch_stats m_stats;
    int m_coldRequests; ///< Warm at 0.
    time_point m_fallenUntil;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace bronzechute::standins
