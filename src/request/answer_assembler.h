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
 * Puts the frames of one attempt's answer in order and checks that the answer is whole. Used by the entry.
 */
class answer_assembler
{
public:
    /** @param maxBufferedBytes bound for bytes that arrived out of order */
    answer_assembler(const attempt_id &attempt, std::size_t maxBufferedBytes);

    /**
     * @param ready receives the bytes that are next in order, appended
     */
    frame_verdict addData(const data_frame &data, std::string &ready);
    frame_verdict addEnd(const end_frame &end);

    /** @returns whether the end frame and all data frames have arrived and agree. */
    bool complete() const;

    /** @returns whether frames after a missing one have arrived. */
    bool hasGap() const
    {
        return !m_buffered.empty() || (m_end && m_nextSequence < m_end->frames);
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

    /** @returns which kind of frame this is for the attempt: accepted, stale_attempt or foreign. */
    frame_verdict classify(const attempt_id &id) const;

private:
    void take(const std::string &bytes, std::string &ready);
    bool endAgrees() const;

    attempt_id m_attempt;
    std::size_t m_maxBufferedBytes;
    std::size_t m_bufferedBytes = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_bytes = 0;
    body_digest m_digest;
    std::map<std::uint64_t, std::string> m_buffered;
    std::optional<end_frame> m_end;
};

} // namespace bronzechute
