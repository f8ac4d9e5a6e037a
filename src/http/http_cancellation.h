#pragma once

#include "base/ranked_mutex.h"

#include <functional>

namespace bronzechute {

/** Ends calls of an http_client early. Safe to use from any thread; may be shared by calls that follow each other. */
class http_cancellation
{
public:
    /** Ends the call that runs, if any, and every later one. */
    void cancel();

    bool cancelled() const;

    /** @param wake called by cancel(), with a lock held; empty: no call runs. Set by the client that makes the call. */
    void setWake(std::function<void()> wake);

private:
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    bool m_cancelled = false;
    std::function<void()> m_wake;
};

} // namespace bronzechute
