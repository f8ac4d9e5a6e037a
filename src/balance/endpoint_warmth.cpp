#include "balance/endpoint_warmth.h"

#include <algorithm>

namespace bronzechute {

namespace {

// An endpoint that is down is unlisted after three of its report intervals. One that is still listed after this time
// has reported since, and whether it is cold.
constexpr std::chrono::seconds silencePeriod {10};

} // namespace

void endpoint_warmth::setWarm()
{
    m_coldUntil = {};
    m_silentUntil = {};
}

void endpoint_warmth::presumeCold(time_point now, boot_clock::duration period)
{
    const time_point until = now + period;
    m_coldUntil = m_coldUntil == time_point::max() ? until : std::max(m_coldUntil, until);
}

void endpoint_warmth::onReturn(time_point now, boot_clock::duration period)
{
    m_silentUntil = {};
    presumeCold(now, period);
}

void endpoint_warmth::onSilence(time_point now)
{
    m_silentUntil = now + silencePeriod;
}

void endpoint_warmth::onResponse(time_point now, boot_clock::duration period)
{
    if (now < m_silentUntil) {
        onReturn(now, period);
    }
}

time_point endpoint_warmth::warmAt() const
{
    return std::max(m_coldUntil, m_silentUntil);
}

} // namespace bronzechute
