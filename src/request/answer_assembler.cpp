#include "request/answer_assembler.h"

namespace bronzechute {

answer_assembler::answer_assembler(const attempt_id &attempt, std::size_t maxBufferedBytes)
    : m_attempt(attempt), m_maxBufferedBytes(maxBufferedBytes)
{
}

frame_verdict answer_assembler::classify(const attempt_id &id) const
{
    if (id.request != m_attempt.request || id.attempt > m_attempt.attempt) {
        return frame_verdict::foreign;
    }
    return id.attempt < m_attempt.attempt ? frame_verdict::stale_attempt : frame_verdict::accepted;
}

frame_verdict answer_assembler::addData(const data_frame &data, std::string &ready)
{
    const frame_verdict owner = classify(data.id);
    if (owner != frame_verdict::accepted) {
        return owner;
    }
    if (data.sequence < m_nextSequence || m_earlyFrames.contains(data.sequence)) {
        return frame_verdict::duplicate;
    }
    if (data.sequence > m_nextSequence) {
        if (m_bufferedBytes + data.bytes.size() > m_maxBufferedBytes) {
            return frame_verdict::overflow;
        }
        m_bufferedBytes += data.bytes.size();
        m_earlyFrames.emplace(data.sequence, data.bytes);
        return frame_verdict::buffered;
    }
    append(data.bytes, ready);
    auto next = m_earlyFrames.begin();
    while (next != m_earlyFrames.end() && next->first == m_nextSequence) {
        m_bufferedBytes -= next->second.size();
        append(next->second, ready);
        next = m_earlyFrames.erase(next);
    }
    return m_end && m_nextSequence >= m_end->frames && !endMatches() ? frame_verdict::corrupt : frame_verdict::accepted;
}

void answer_assembler::append(const std::string &bytes, std::string &ready)
{
    m_digest.add(bytes);
    m_bytes += bytes.size();
    ++m_nextSequence;
    ready += bytes;
}

frame_verdict answer_assembler::addEnd(const end_frame &end)
{
    const frame_verdict owner = classify(end.id);
    if (owner != frame_verdict::accepted) {
        return owner;
    }
    if (m_end) {
        return *m_end == end ? frame_verdict::duplicate : frame_verdict::corrupt;
    }
    m_end = end;
    if (m_nextSequence < end.frames) {
        return frame_verdict::buffered;
    }
    return endMatches() ? frame_verdict::accepted : frame_verdict::corrupt;
}

bool answer_assembler::endMatches() const
{
    return m_end->frames == m_nextSequence && m_earlyFrames.empty() && m_end->bytes == m_bytes
        && m_end->digest == m_digest.value();
}

bool answer_assembler::complete() const
{
    return m_end && m_nextSequence == m_end->frames && endMatches();
}

} // namespace bronzechute
