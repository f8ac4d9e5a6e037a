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
 * Event loop that runs HTTP transfers in one thread over a libcurl multi handle.
 *
 * Sinks are called from this thread and must not block, because that would delay all transfers.
 */
class transfer_loop
{
public:
    /** Runs one iteration of the loop, and may do work before and after it. */
    using iteration_wrapper = std::function<void(const std::function<void()> &iteration)>;

    /** @param wrapper called for each iteration, from the thread of the loop; by default it only runs the iteration */
    explicit transfer_loop(iteration_wrapper wrapper = [](const std::function<void()> &iteration) { iteration(); });

    /** Cancels the running transfers. Must not be called from a sink. */
    ~transfer_loop();
    transfer_loop(const transfer_loop &) = delete;
    transfer_loop &operator=(const transfer_loop &) = delete;

    /** Starts a transfer. Does not block. */
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
    void runIteration();
    void apply(const transfer_command &command);
    void begin(const std::shared_ptr<running_transfer> &target);
    void reportFinished();
    void failOverdue(time_point now);
    int waitMilliseconds(time_point now) const;
    std::shared_ptr<running_transfer> removeTransfer(CURL *easy);

    const iteration_wrapper m_wrapper;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
    std::shared_ptr<transfer_queue> m_queue;
    std::unordered_map<CURL *, std::shared_ptr<running_transfer>>
        m_running; ///< Accessed only by the thread of the loop.
    std::thread m_thread;
};

} // namespace bronzechute
