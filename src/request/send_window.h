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
 * Numbers the pieces of one attempt's answer, keeps what the entry has not credited for a resume, and bounds it. Used
 * by the endpoint process.
 */
class send_window
{
public:
    /** @param windowBytes bytes that may be sent and not credited */
    send_window(const attempt_id &attempt, std::size_t windowBytes);

    /** @returns the next data frame, which is also kept until it is credited. */
    data_frame push(std::string_view bytes);

    /** Forgets the frames below the sequence number. */
    void credit(std::uint64_t nextSequence);

    /** @returns whether no more bytes should be read from the back end until credit arrives. */
    bool full() const
    {
        return m_keptBytes >= m_windowBytes;
    }

    /** @returns whether every frame was credited. */
    bool drained() const
    {
        return m_kept.empty();
    }

    /**
     * @param sequence first frame that the entry does not have
     * @returns the kept frames from there on
     */
    std::vector<data_frame> from(std::uint64_t sequence) const;

    /** @returns whether all frames from this sequence on are still kept. */
    bool canReplayFrom(std::uint64_t sequence) const;

    /** @returns the end frame for what was pushed. */
    end_frame end() const;

private:
    attempt_id m_attempt;
    std::size_t m_windowBytes;
    std::size_t m_keptBytes = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_bytes = 0;
    body_digest m_digest;
    std::deque<data_frame> m_kept;
};

} // namespace bronzechute
