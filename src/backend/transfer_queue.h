#pragma once

#include "backend/transfer_command.h"
#include "base/ranked_mutex.h"

#include <curl/curl.h>

#include <vector>

namespace bronzechute {

/**
 * Queue of commands from any thread to the thread of a transfer_loop. May outlive the loop, because transfer handles
 * refer to it.
 */
class transfer_queue
{
public:
    explicit transfer_queue(CURLM *multi) : m_multi(multi)
    {
    }

    /** Adds a command and wakes the loop. @returns false when the loop has stopped and the command is dropped. */
    bool push(transfer_command command);

    /** Removes all commands. @returns them in order. */
    std::vector<transfer_command> take();

    /** Asks the loop to stop. */
    void requestStop();

    bool stopRequested();

    /** Closes the queue, which then no longer uses the multi handle. @returns the commands that were not executed. */
    std::vector<transfer_command> close();

private:
    ranked_mutex m_mutex {lock_rank::backend};
    CURLM *m_multi; ///< Null once closed.
    std::vector<transfer_command> m_commands;
    bool m_stop = false;
};

} // namespace bronzechute
