#include "recording_sink.h"

#include <mutex>

namespace bronzechute::standins {

void recording_sink::onHead(int status, const header_list &headers)
{
    const std::scoped_lock lock(m_mutex);
    m_status = status;
    m_headers = headers;
    recordCall('h');
}

bool recording_sink::onBytes(std::string_view bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_body.append(bytes);
    recordCall('b');
    return m_body.size() < m_refuseAfter;
}

void recording_sink::onEnd()
{
    const std::scoped_lock lock(m_mutex);
    m_ended = true;
    recordCall('e');
}

void recording_sink::onError(const error &failure, bool mayHaveRun)
{
    const std::scoped_lock lock(m_mutex);
    m_failure = failure;
    m_mayHaveRun = mayHaveRun;
    m_ended = true;
    recordCall('f');
}

void recording_sink::refuseAfter(std::size_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_refuseAfter = bytes;
}

bool recording_sink::waitForEnd()
{
    return waitUntil([this] { return m_ended; });
}

bool recording_sink::waitForBytes(std::size_t count)
{
    waitUntil([this, count] { return m_ended || m_body.size() >= count; });
    return body().size() >= count;
}

std::string recording_sink::body()
{
    const std::scoped_lock lock(m_mutex);
    return m_body;
}

int recording_sink::status()
{
    const std::scoped_lock lock(m_mutex);
    return m_status;
}

header_list recording_sink::headers()
{
    const std::scoped_lock lock(m_mutex);
    return m_headers;
}

std::string recording_sink::calls()
{
    const std::scoped_lock lock(m_mutex);
    return m_calls;
}

std::optional<error> recording_sink::failure()
{
    const std::scoped_lock lock(m_mutex);
    return m_failure;
}

bool recording_sink::mayHaveRun()
{
    const std::scoped_lock lock(m_mutex);
    return m_mayHaveRun;
}

void recording_sink::recordCall(char call)
{
    if (call != 'b' || !m_calls.ends_with('b')) {
        m_calls.push_back(call);
    }
    m_changed.notify_all();
}

bool recording_sink::waitUntil(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds waitTimeout {30};
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, waitTimeout, condition);
}

} // namespace bronzechute::standins
