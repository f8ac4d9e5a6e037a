#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"

#include <condition_variable>
#include <cstddef>
#include <string>

namespace bronzechute::standins {

/** One request in an engine's batch. */
class engine_sequence
{
public:
    struct progress
    {
        std::size_t generated = 0; ///< Index after the last token so far.
        bool stopped = false; ///< No more tokens will come, complete or not.
    };

    std::string prompt;
    std::string peer; ///< Address and port of the client.
    std::size_t first = 0; ///< Index of the first token to generate.
    std::size_t last = 0; ///< Index after the last token to generate.
    int priority = 0; ///< Lower runs first, as in vLLM.
    time_point prefillDone; ///< Set when the sequence joins the batch.

    /** Adds a token. @returns whether the sequence is complete. */
    bool addToken();

    /** Ends the sequence before it is complete. */
    void stop();

    /** Blocks until there are more tokens than seen or none will come. */
    progress waitBeyond(std::size_t seen);

    /** Blocks until the sequence is complete or stopped. */
    progress waitForEnd();

private:
    ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    std::size_t m_added = 0;
    bool m_stopped = false;
};

} // namespace bronzechute::standins
