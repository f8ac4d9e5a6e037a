#pragma once

#include "request/body_digest.h"
#include "request/frame_verdict.h"
#include "wire/attempt_id.h"
#include "wire/data_frame.h"
#include "wire/end_frame.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Reassembles the answer of one attempt from its frames and verifies that it is complete and unchanged. Used by the
 * entry.
 */
class answer_assembler
{
public:
    /** @param maxBufferedBytes limit for the bytes of frames that arrived out of order */
    answer_assembler(const attempt_id &attempt, std::size_t maxBufferedBytes);

    /** @param ready the bytes that are next in order are appended to it */
    frame_verdict addData(const data_frame &data, std::string &ready);
    frame_verdict addEnd(const end_frame &end);

    /** @returns whether the end frame and all data frames have arrived and match. */
    bool complete() const;

    /** @returns whether a frame is missing while a later one has arrived. */
    bool hasGap() const
    {
        return !m_earlyFrames.empty() || (m_end && m_nextSequence < m_end->frames);
    }

    /** @returns the sequence number of the first data frame that is missing. */
    std::uint64_t nextSequence() const
    {
        return m_nextSequence;
    }

    const attempt_id &attempt() const
    {
        return m_attempt;
    }

    /** @returns accepted for a frame of this attempt, otherwise stale_attempt or foreign. */
    frame_verdict classify(const attempt_id &id) const;

private:
    void append(const std::string &bytes, std::string &ready);
    bool endMatches() const;

    attempt_id m_attempt;
    std::size_t m_maxBufferedBytes;
    std::size_t m_bufferedBytes = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_bytes = 0;
    body_digest m_digest;
    std::map<std::uint64_t, std::string> m_earlyFrames;
    std::optional<end_frame> m_end;
};

} // namespace bronzechute
