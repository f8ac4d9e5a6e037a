#include "request/send_window.h"

namespace bronzechute {

send_window::send_window(const attempt_id &attempt, std::size_t windowBytes)
    : m_attempt(attempt), m_windowBytes(windowBytes)
{
}

data_frame send_window::push(std::string_view bytes)
{
    m_digest.add(bytes);
    m_bytes += bytes.size();
    m_retainedBytes += bytes.size();
    m_retained.push_back({m_attempt, m_nextSequence++, std::string(bytes)});
    return m_retained.back();
}

void send_window::credit(std::uint64_t nextSequence)
{
    while (!m_retained.empty() && m_retained.front().sequence < nextSequence) {
        m_retainedBytes -= m_retained.front().bytes.size();
        m_retained.pop_front();
    }
}

std::vector<data_frame> send_window::framesFrom(std::uint64_t sequence) const
{
    std::vector<data_frame> frames;
    for (const data_frame &retained : m_retained) {
        if (retained.sequence >= sequence) {
            frames.push_back(retained);
        }
    }
    return frames;
}

bool send_window::canReplayFrom(std::uint64_t sequence) const
{
    const std::uint64_t firstRetained = m_retained.empty() ? m_nextSequence : m_retained.front().sequence;
    return sequence >= firstRetained && sequence <= m_nextSequence;
}

end_frame send_window::end() const
{
    return {m_attempt, m_nextSequence, m_bytes, m_digest.value()};
}

} // namespace bronzechute
