#include "standins/forward_direction.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace bronzechute::standins {

namespace {

constexpr std::size_t bufferLimit = std::size_t {256} * 1024;
constexpr std::size_t blockBytes = std::size_t {16} * 1024;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

forward_direction::forward_direction(int from, int to, frame_rules *rules) : m_from(from), m_to(to)
{
    if (rules != nullptr) {
        m_filter.emplace(*rules);
    }
}

void forward_direction::hold(chunk next)
{
    m_buffered += next.bytes.size();
    // What is due at the same time keeps its order, so that a chunk that is partly sent stays in front.
    const auto position = std::ranges::upper_bound(m_chunks, next.due, {}, &chunk::due);
    m_chunks.insert(position, std::move(next));
}

bool forward_direction::wantsRead() const
{
    return !m_endRead && !m_paused && m_buffered < bufferLimit;
}

bool forward_direction::wantsWrite(time_point now) const
{
    return !m_chunks.empty() && m_chunks.front().due <= now;
}

time_point forward_direction::nextDue() const
{
    return m_chunks.empty() ? time_point::max() : m_chunks.front().due;
}

bool forward_direction::read(time_point due)
{
    char block[blockBytes];
    const ssize_t count = recv(m_from, block, sizeof block, 0);
    if (count < 0) {
        return wouldBlock();
    }
    m_endRead = count == 0;
    // A delay that is set lower lets nothing overtake what was read before.
    m_lastDue = std::max(m_lastDue, due);
    const std::string_view bytes(block, static_cast<std::size_t>(count));
    if (!m_filter || m_endRead) {
        hold({m_endRead && !m_chunks.empty() ? std::max(m_lastDue, m_chunks.back().due) : m_lastDue,
              std::string(bytes)});
        return true;
    }
    for (frame_filter::piece &piece : m_filter->feed(bytes)) {
        hold({m_lastDue + piece.delay, std::move(piece.bytes)});
    }
    return true;
}

bool forward_direction::write(time_point now, std::uint64_t &remaining)
{
    while (wantsWrite(now) && remaining > 0) {
        std::string &bytes = m_chunks.front().bytes;
        if (bytes.empty()) {
            shutdown(m_to, SHUT_WR);
            m_endSent = true;
            m_chunks.pop_front();
            return true;
        }
        const std::size_t length = std::min<std::uint64_t>(bytes.size(), remaining);
        const ssize_t count = send(m_to, bytes.data(), length, MSG_NOSIGNAL);
        if (count < 0) {
            return wouldBlock();
        }
        const auto written = static_cast<std::size_t>(count);
        m_forwarded += written;
        m_buffered -= written;
        remaining -= written;
        bytes.erase(0, written);
        if (bytes.empty()) {
            m_chunks.pop_front();
        }
    }
    return true;
}

} // namespace bronzechute::standins
