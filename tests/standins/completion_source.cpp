#include "standins/completion_source.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace bronzechute::standins {

completion_source::completion_source(const completion_request &request, completion_format format,
                                     std::shared_ptr<engine_sequence> sequence, engine_batch &batch,
                                     fault_board &faults)
    : m_request(request)
    , m_format(std::move(format))
    , m_sequence(std::move(sequence))
    , m_batch(batch)
    , m_faults(faults)
    , m_next(request.firstToken)
{
}

ssize_t completion_source::read(char *buffer, std::size_t capacity)
{
    if (m_pending.empty()) {
        if (m_complete) {
            return endOfBody;
        }
        if (m_cut || !produce()) {
            return broken;
        }
    }
    const std::size_t count = std::min(capacity, m_pending.size());
    std::memcpy(buffer, m_pending.data(), count);
    m_pending.erase(0, count);
    return static_cast<ssize_t>(count);
}

void completion_source::onClosed()
{
    m_batch.cancel(m_sequence);
}

bool completion_source::produce()
{
    m_batch.waitWhileFallenOver();
    return m_faults.waitWhile(&fault_settings::neverAnswer) && (m_request.stream ? produceEvents() : produceWhole());
}

bool completion_source::produceEvents()
{
    const engine_sequence::progress progress = m_sequence->waitBeyond(m_next);
    if (progress.stopped && progress.generated < m_request.lastToken) {
        return false;
    }
    const std::int64_t cut = m_faults.current().cutAfterTokens;
    for (; m_next < progress.generated; ++m_next) {
        if (cut >= 0 && std::cmp_greater_equal(m_next - m_request.firstToken, cut)) {
            m_cut = true;
            return !m_pending.empty();
        }
        m_pending += m_format.tokenEvent(m_next);
    }
    if (m_next == m_request.lastToken) {
        m_pending += m_format.lastEvents(m_next);
        m_complete = true;
    }
    return true;
}

bool completion_source::produceWhole()
{
    const engine_sequence::progress progress = m_sequence->waitForEnd();
    if (progress.generated < m_request.lastToken) {
        return false;
    }
    m_pending = m_format.whole(progress.generated);
    m_complete = true;
    if (m_faults.current().cutAfterTokens >= 0) {
        m_pending.resize(m_pending.size() / 2);
        m_complete = false;
        m_cut = true;
    }
    return true;
}

} // namespace bronzechute::standins
