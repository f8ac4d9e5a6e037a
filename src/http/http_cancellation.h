#pragma once

#include "base/ranked_mutex.h"

#include <functional>

namespace bronzechute {

/** Cancels calls of an http_client. Thread-safe; may be shared by consecutive calls. */
class http_cancellation
{
public:
    /** Cancels the call in progress, if any, and every later call. */
    void cancel();

    bool cancelled() const;

    /** @param wake called by cancel() with a lock held; empty when no call is running. Set by the http_client. */
    void setWake(std::function<void()> wake);

private:
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    bool m_cancelled = false;
    std::function<void()> m_wake;
};

} // namespace bronzechute
