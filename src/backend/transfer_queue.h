#pragma once

#include "backend/transfer_command.h"
#include "base/ranked_mutex.h"

#include <curl/curl.h>

#include <vector>

namespace bronzechute {

/**
 * Commands from any thread to the thread of a transfer_loop. Outlives the loop, because handles of transfers refer to
 * it.
 */
class transfer_queue
{
public:
    explicit transfer_queue(CURLM *multi) : m_multi(multi)
    {
    }

    /** Adds a command and wakes the loop. @returns false when the loop has ended; the command is dropped. */
    bool push(transfer_command command);

    /** @returns the commands so far, in order. */
    std::vector<transfer_command> take();

    /** Tells the loop to end. */
    void requestStop();

    bool stopRequested();

    /** After this call nothing touches the multi handle any more. @returns the commands that were never taken. */
    std::vector<transfer_command> close();

private:
    ranked_mutex m_mutex {lock_rank::backend};
    CURLM *m_multi; ///< Null once closed.
    std::vector<transfer_command> m_commands;
    bool m_stop = false;
};

} // namespace bronzechute
