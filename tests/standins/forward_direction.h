#pragma once

#include "base/boot_clock.h"
#include "standins/frame_filter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace bronzechute::standins {

/** Bytes on their way from one socket to another, each held for a delay. Both sockets are non-blocking. */
class forward_direction
{
public:
    /** @param rules faults of frames, or null to forward bytes as they are */
    forward_direction(int from, int to, frame_rules *rules);

    /** While paused, nothing more is read from the sender. */
    void setPaused(bool paused)
    {
        m_paused = paused;
    }

    /** @returns whether there is room for more bytes and the sender has not ended. */
    bool wantsRead() const;

    /** @returns whether bytes, or the end, are due. */
    bool wantsWrite(time_point now) const;

    /** @returns when the next bytes are due; the maximum when there are none. */
    time_point nextDue() const;

    /** Reads what is there. @returns false when the connection is broken. */
    bool read(time_point due);

    /**
     * Writes what is due.
     * @param remaining upper bound of bytes; reduced by what was written
     * @returns false when the connection is broken
     */
    bool write(time_point now, std::uint64_t &remaining);

    bool ended() const
    {
        return m_endSent;
    }

    std::uint64_t forwarded() const
    {
        return m_forwarded;
    }

private:
    struct chunk
    {
        time_point due;
        std::string bytes; ///< Empty for the end of the stream.
    };

    void hold(chunk next);

    int m_from;
    int m_to;
    std::optional<frame_filter> m_filter;
    std::deque<chunk> m_chunks; ///< In the order in which they are due.
    time_point m_lastDue {}; ///< Of what was read last, without the delay of single frames.
    std::size_t m_buffered = 0;
    std::uint64_t m_forwarded = 0;
    bool m_paused = false;
    bool m_endRead = false;
    bool m_endSent = false;
};

} // namespace bronzechute::standins
