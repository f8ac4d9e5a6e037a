#include "gateway/unlisted_statements.h"

#include <algorithm>

namespace bronzechute {

bool unlisted_statements::isSameRun(const endpoint_record &left, const endpoint_record &right)
{
    return left.id == right.id && left.startedAtMs == right.startedAtMs && left.address == right.address
        && left.service == right.service;
}

void unlisted_statements::keep(const gateway_endpoint &endpoint, time_point now)
{
    const bool says = endpoint.saysLeaving || now < endpoint.pausedUntil;
    // Without its start, a run cannot be told from the next one at its address, which must not be held back.
    if (!says || endpoint.record.startedAtMs == 0) {
        return;
    }
    std::erase_if(m_kept, [&](const kept_statement &each) { return isSameRun(each.record, endpoint.record); });
    m_kept.push_back({endpoint.record, endpoint.saysLeaving, endpoint.pausedUntil});
    if (m_kept.size() > limit) {
        m_kept.pop_front();
    }
}

void unlisted_statements::restore(gateway_endpoint &endpoint) const
{
    const auto found = std::ranges::find_if(
        m_kept, [&](const kept_statement &each) { return isSameRun(each.record, endpoint.record); });
    if (found != m_kept.end()) {
        endpoint.saysLeaving = found->saysLeaving;
        endpoint.pausedUntil = found->pausedUntil;
    }
}

} // namespace bronzechute
