#include "balance/load_forecast.h"

#include "balance/placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bronzechute {

namespace {

// Placements within this time and the age of the reports count as simultaneous. It covers a few passes of an engine:
// each prompt makes one pass of its whole rank group longer, so that several new requests at the least loaded rank cost
// more than an uneven number of running ones. With 100 ms, passes are longer; 300 ms shorten them no further and leave
// the load less even (docs/design/even-load.md).
constexpr std::chrono::milliseconds spreadTime {200};
// Steps of the forecast. A shorter one changes little and costs a distribution over all endpoints.
constexpr std::chrono::milliseconds shortestStep {10};

} // namespace

void load_forecast::configure(double tokenWeight, std::int64_t memoryTokens)
{
    m_tokenWeight = std::clamp(tokenWeight, 0.0, 1.0);
    m_memoryTokens = memoryTokens;
}

double load_forecast::averageRequests(const endpoint_load &load) const
{
    const double meanTokens = m_residence.meanTokens();
    if (load.tokens <= 0 || meanTokens <= 0) {
        return load.requests;
    }
    return (1 - m_tokenWeight) * load.requests + m_tokenWeight * static_cast<double>(load.tokens) / meanTokens;
}

double load_forecast::endedShare(std::chrono::duration<double> within, time_point now) const
{
    return 1 - std::exp(-within / m_residence.mean(now));
}

double load_forecast::peersWork(std::span<const endpoint_work> work) const
{
    double peers = 0;
    for (const endpoint_work &each : work) {
        peers += averageRequests(each.peers);
    }
    return peers;
}

double load_forecast::concurrent(std::span<const endpoint_work> work, time_point now) const
{
    return m_age.count() <= 0 ? 0.0 : peersWork(work) * endedShare(m_age + spreadTime, now);
}

void load_forecast::apply(std::span<endpoint_view> views, std::span<const endpoint_work> work, time_point now) const
{
    const double ended = endedShare(m_age, now);
    for (std::size_t index = 0; index < views.size(); ++index) {
        const endpoint_work &each = work[index];
        const double peers = averageRequests(each.peers);
        views[index].extraWork =
            averageRequests(each.own) + peers * (1 - ended) + each.foreseen - each.own.requests - each.peers.requests;
        if (m_memoryTokens > 0) {
            views[index].memoryUse =
                static_cast<double>(each.own.tokens + each.peers.tokens) / static_cast<double>(m_memoryTokens);
        }
    }
}

bool load_forecast::due(time_point now) const
{
    return now - m_advancedAt >= shortestStep;
}

void load_forecast::advance(std::span<const endpoint_view> views, std::span<endpoint_work> work, time_point now)
{
    if (!due(now)) {
        return;
    }
    const std::chrono::duration<double> step = now - m_advancedAt;
    m_advancedAt = now;
    std::vector<double> shares(work.size(), 0.0);
    const double spread = concurrent(work, now);
    if (spread > 0) {
        std::vector<endpoint_view> common(views.begin(), views.end());
        apply(common, work, now);
        for (endpoint_view &view : common) {
            view.local = true; // The other gateways have other local endpoints.
        }
        shares = placementShares(common, 0, spread);
    }
    // As many are placed as end, because the load hardly changes within so short a time.
    const double unseen = peersWork(work) * endedShare(m_age, now);
    // Reports replace what was foreseen before, after their age on average.
    const double replaced = m_age.count() > 0 ? 1 - std::exp(-step / m_age) : 1.0;
    for (std::size_t index = 0; index < work.size(); ++index) {
        const double placed = spread > 0 ? unseen * shares[index] / spread : 0.0;
        work[index].foreseen += replaced * (placed - work[index].foreseen);
    }
}

} // namespace bronzechute
