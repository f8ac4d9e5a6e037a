#pragma once

#include "standins/forward_direction.h"

#include <cstdint>
#include <poll.h>
#include <vector>

namespace bronzechute::standins {

/** A client's connection and the one to the target that belongs to it. Closes both. */
class forwarded_connection
{
public:
    static constexpr std::uint64_t unlimited = UINT64_MAX;

    /**
     * @param remaining bytes until the connection goes silent
     * @param rules faults of frames, or null to forward bytes as they are
     */
    forwarded_connection(int client, int target, std::uint64_t remaining, frame_rules *rules);
    ~forwarded_connection();
    forwarded_connection(const forwarded_connection &) = delete;
    forwarded_connection &operator=(const forwarded_connection &) = delete;

    /** Lets so many further bytes pass; 0 makes it silent at once and for good. */
    void limit(std::uint64_t remaining);

    /** Stops the bytes of a direction until they are let through again. */
    void pause(bool up, bool down);

    /** A silent connection stays open, but nothing is read or written any more. */
    bool silent() const
    {
        return m_remaining == 0;
    }

    /** Appends one entry for each socket. */
    void addTo(std::vector<pollfd> &entries, time_point now) const;

    /** Forwards what the entries of addTo() report. @returns false when the connection is to be closed. */
    bool forward(const pollfd &client, const pollfd &target, time_point now, time_point due);

    time_point nextDue() const;

    std::uint64_t bytesUp() const
    {
        return m_up.forwarded();
    }

    std::uint64_t bytesDown() const
    {
        return m_down.forwarded();
    }

private:
    int m_client;
    int m_target;
    forward_direction m_up;
    forward_direction m_down;
    std::uint64_t m_remaining;
};

} // namespace bronzechute::standins
