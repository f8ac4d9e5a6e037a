#include "expert_map/rank_speed_tracker.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds minReadInterval {600};
constexpr std::chrono::milliseconds maxReadInterval {4800};
// While a rank is slow, its recovery has to be noticed, but no caller waits for it.
constexpr std::chrono::milliseconds recoveryReadInterval {1200};
// An increase of the pass time to this percentage may come from another rank that has become slow.
constexpr int relevantIncreasePercent = 150;
// Smaller slowdowns are usual differences between machines, and a changed map would gain little.
constexpr double minSlowdown = 1.2;
// Relative change of a slowdown that is worth a new map.
constexpr double minRelativeChange = 0.25;

} // namespace

bool rank_speed_tracker::anySlow() const
{
    return std::ranges::any_of(m_slowdowns, [](double slowdown) { return slowdown > 1.0; });
}

bool rank_speed_tracker::isDue(bool groupSlow, boot_clock::duration passTime, time_point now)
{
    if (!groupSlow && !anySlow()) {
        m_interval = {};
        return false;
    }
    const bool slowerStill = passTime > m_passTimeAtRead * relevantIncreasePercent / 100;
    if (now - m_readAt < (slowerStill ? std::min<boot_clock::duration>(m_interval, minReadInterval) : m_interval)) {
        return false;
    }
    m_readAt = now;
    m_passTimeAtRead = passTime;
    if (anySlow()) {
        m_interval = recoveryReadInterval;
    } else if (slowerStill) {
        m_interval = minReadInterval;
    } else {
        m_interval = std::clamp<boot_clock::duration>(2 * m_interval, minReadInterval, maxReadInterval);
    }
    return true;
}

void rank_speed_tracker::record(std::size_t rank, double slowdown, time_point now)
{
    if (rank >= m_slowdowns.size()) {
        m_slowdowns.resize(rank + 1, 1.0);
    }
    const double next = slowdown < minSlowdown ? 1.0 : slowdown;
    double &known = m_slowdowns[rank];
    if (std::abs(next - known) >= minRelativeChange * std::min(next, known)) {
        known = next;
        m_changedAt = now;
    }
}

std::vector<double> rank_speed_tracker::speeds(std::size_t ranks) const
{
    std::vector<double> speeds(ranks, 1.0);
    for (std::size_t rank = 0; rank < std::min(ranks, m_slowdowns.size()); ++rank) {
        speeds[rank] = 1.0 / m_slowdowns[rank];
    }
    return speeds;
}

std::vector<std::size_t> rank_speed_tracker::avoidedRanks(std::size_t ranks) const
{
    const std::vector<double> speed = speeds(ranks);
    std::vector<std::size_t> order(ranks);
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::ranges::stable_sort(order, {}, [&](std::size_t rank) { return speed[rank]; });
    std::size_t best = 0;
    double bestThroughput = 0;
    for (std::size_t avoided = 0; avoided < ranks; ++avoided) {
        const double throughput = static_cast<double>(ranks - avoided) * speed[order[avoided]];
        if (throughput > bestThroughput) {
            best = avoided;
            bestThroughput = throughput;
        }
    }
    order.resize(best);
    return order;
}

} // namespace bronzechute
