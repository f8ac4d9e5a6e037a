#pragma once

#include "request/body_digest.h"
#include "wire/attempt_id.h"
#include "wire/data_frame.h"
#include "wire/end_frame.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Sender side of the flow control for one attempt's answer: numbers the data frames, retains those that the entry has
 * not credited, so that they can be sent again on a resume, and limits their size. Used by the endpoint process.
 */
class send_window
{
public:
    /** @param windowBytes bytes that may be sent without credit */
    send_window(const attempt_id &attempt, std::size_t windowBytes);

    /** @returns the next data frame, which is also retained until it is credited. */
    data_frame push(std::string_view bytes);

    /** Releases the frames below the sequence number. */
    void credit(std::uint64_t nextSequence);

    /** @returns whether no more bytes should be read from the back end until credit arrives. */
    bool isFull() const
    {
        return m_retainedBytes >= m_windowBytes;
    }

    /** @returns whether every frame was credited. */
    bool isDrained() const
    {
        return m_retained.empty();
    }

    /**
     * @param sequence first frame that the entry has not received
     * @returns the retained frames from there on
     */
    std::vector<data_frame> framesFrom(std::uint64_t sequence) const;

    /** @returns whether all frames from this sequence number on are still retained. */
    bool canReplayFrom(std::uint64_t sequence) const;

    /** @returns the end frame for all data pushed so far. */
    end_frame end() const;

private:
    attempt_id m_attempt;
    std::size_t m_windowBytes;
    std::size_t m_retainedBytes = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_bytes = 0;
    body_digest m_digest;
    std::deque<data_frame> m_retained;
};

} // namespace bronzechute
