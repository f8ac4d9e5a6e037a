#pragma once

#include "backend/back_end.h"
#include "backend/running_transfer.h"
#include "backend/transfer_queue.h"
#include "backend/transfer_request.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <thread>
#include <unordered_map>

namespace bronzechute {

/**
 * One thread that runs all HTTP transfers of a process over a libcurl multi handle.
 *
 * Sinks are called from this thread and must not block: all transfers wait for them.
 */
class transfer_loop
{
public:
    /** Runs one round of work on the transfers, with whatever belongs before and after it. */
    using round_runner = std::function<void(const std::function<void()> &round)>;

    /** @param around called for each round, from the thread of the loop; by default the round alone is run */
    explicit transfer_loop(round_runner around = [](const std::function<void()> &round) { round(); });

    /** Cancels what still runs. Must not be called from a sink. */
    ~transfer_loop();
    transfer_loop(const transfer_loop &) = delete;
    transfer_loop &operator=(const transfer_loop &) = delete;

    /** Starts a transfer. Never blocks. */
    std::shared_ptr<transfer> start(transfer_request request, std::shared_ptr<answer_sink> sink);

private:
    struct multi_deleter
    {
        void operator()(CURLM *multi) const
        {
            curl_multi_cleanup(multi);
        }
    };

    void run();
    void runRound();
    void apply(const transfer_command &command);
    void begin(const std::shared_ptr<running_transfer> &subject);
    void collectFinished();
    void endOverdue(time_point now);
    int waitMilliseconds(time_point now) const;
    std::shared_ptr<running_transfer> release(CURL *easy);

    const round_runner m_around;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
    std::shared_ptr<transfer_queue> m_queue;
    std::unordered_map<CURL *, std::shared_ptr<running_transfer>> m_running; ///< Used by the thread only.
    std::thread m_thread;
};

} // namespace bronzechute
