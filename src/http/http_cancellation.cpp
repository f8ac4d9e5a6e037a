#include "http/http_cancellation.h"

#include <mutex>

namespace bronzechute {

void http_cancellation::cancel()
{
    const std::scoped_lock lock(m_mutex);
    m_cancelled = true;
    if (m_wake) {
        m_wake();
    }
}

bool http_cancellation::cancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_cancelled;
}

void http_cancellation::setWake(std::function<void()> wake)
{
    const std::scoped_lock lock(m_mutex);
    m_wake = std::move(wake);
}

} // namespace bronzechute
