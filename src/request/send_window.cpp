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
    m_keptBytes += bytes.size();
    m_kept.push_back({m_attempt, m_nextSequence++, std::string(bytes)});
    return m_kept.back();
}

void send_window::credit(std::uint64_t nextSequence)
{
    while (!m_kept.empty() && m_kept.front().sequence < nextSequence) {
        m_keptBytes -= m_kept.front().bytes.size();
        m_kept.pop_front();
    }
}

std::vector<data_frame> send_window::from(std::uint64_t sequence) const
{
    std::vector<data_frame> frames;
    for (const data_frame &kept : m_kept) {
        if (kept.sequence >= sequence) {
            frames.push_back(kept);
        }
    }
    return frames;
}

bool send_window::canReplayFrom(std::uint64_t sequence) const
{
    const std::uint64_t firstKept = m_kept.empty() ? m_nextSequence : m_kept.front().sequence;
    return sequence >= firstKept && sequence <= m_nextSequence;
}

end_frame send_window::end() const
{
    return {m_attempt, m_nextSequence, m_bytes, m_digest.value()};
}

} // namespace bronzechute
