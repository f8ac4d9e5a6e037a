#include "backend/collecting_sink.h"

#include <mutex>

namespace bronzechute {

void collecting_sink::onHead(int status, const header_list &headers)
{
    const std::scoped_lock lock(m_mutex);
    m_answer.status = status;
    m_answer.headers = headers;
}

bool collecting_sink::onBytes(std::string_view bytes)
{
    const std::scoped_lock lock(m_mutex);
    if (m_answer.body.size() + bytes.size() > m_limit) {
        return false;
    }
    m_answer.body.append(bytes);
    return true;
}

void collecting_sink::onEnd()
{
    const std::scoped_lock lock(m_mutex);
    m_done = true;
    m_changed.notify_all();
}

void collecting_sink::onError(const error &failure, bool mayHaveRun)
{
    const std::scoped_lock lock(m_mutex);
    m_answer.failure = failure;
    m_answer.mayHaveRun = mayHaveRun;
    m_done = true;
    m_changed.notify_all();
}

bool collecting_sink::waitFor(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_done; });
}

collected_answer collecting_sink::answer()
{
    const std::scoped_lock lock(m_mutex);
    return m_answer;
}

} // namespace bronzechute
