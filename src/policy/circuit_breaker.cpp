#include "policy/circuit_breaker.h"

#include <algorithm>
#include <vector>

namespace bronzechute {
namespace {

constexpr double breakerPaceSmoothing = 0.2; // Weight of one response in the exponential moving average.
constexpr std::size_t minPeersForMedian = 3; // With fewer peers, the median says little about which one is slow.

} // namespace

circuit_breaker::circuit_breaker(const breaker_settings &settings) : m_settings(settings)
{
}

void circuit_breaker::setPoolSize(std::size_t size)
{
    m_poolSize = size;
}

circuit_breaker::record &circuit_breaker::findOrAdd(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() ? found->second : m_records[std::string(endpoint)];
}

void circuit_breaker::onSent(time_point now, std::string_view endpoint)
{
    record &each = findOrAdd(endpoint);
    if (each.ejected) {
        each.probing = true;
        each.probeSentAt = now;
    }
}

void circuit_breaker::onAnswered(time_point now, std::string_view endpoint, double paceMs)
{
    record &each = findOrAdd(endpoint);
    each.failures = 0;
    if (each.ejected) {
        // Responses to requests sent before the ejection arrive too; only the probe shows the current state.
        if (each.probing) {
            each.ejected = false;
            each.probing = false;
            each.responses = 0;
            --m_ejected;
        }
        return;
    }
    each.paceMs = each.responses == 0 ? paceMs : each.paceMs + breakerPaceSmoothing * (paceMs - each.paceMs);
    ++each.responses;
    if (each.responses >= m_settings.lagSamples) {
        if (lags(each)) {
            eject(now, each);
        } else {
            each.ejections = 0;
        }
    }
}

void circuit_breaker::onFailed(time_point now, std::string_view endpoint)
{
    record &each = findOrAdd(endpoint);
    ++each.failures;
    if (each.ejected) {
        if (each.probing) {
            each.ejected = false;
            --m_ejected;
            eject(now, each);
        }
    } else if (each.failures >= m_settings.consecutiveFailures) {
        eject(now, each);
    }
}

void circuit_breaker::onNeutral(std::string_view endpoint)
{
    findOrAdd(endpoint).probing = false;
}

void circuit_breaker::eject(time_point now, record &endpoint)
{
    if (static_cast<double>(m_ejected + 1) > m_settings.maxEjectedShare * static_cast<double>(m_poolSize)) {
        return; // The cause probably affects the whole pool; ejecting more endpoints would only overload the rest.
    }
    endpoint.ejected = true;
    endpoint.probing = false;
    const auto ejectionTime = m_settings.initialEjectionTime * (1 << std::min(endpoint.ejections, 10));
    endpoint.ejectedUntil = now + std::min<std::chrono::milliseconds>(ejectionTime, m_settings.maxEjectionTime);
    ++endpoint.ejections;
    ++m_ejected;
}

bool circuit_breaker::lags(const record &endpoint) const
{
    std::vector<double> paces;
    for (const auto &[name, each] : m_records) {
        if (&each != &endpoint && !each.ejected && each.responses >= m_settings.lagSamples) {
            paces.push_back(each.paceMs);
        }
    }
    if (paces.size() < minPeersForMedian) {
        return false;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return endpoint.paceMs > *middle * m_settings.lagFactor;
}

breaker_state circuit_breaker::state(time_point now, std::string_view endpoint) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end() || !found->second.ejected) {
        return {};
    }
    const record &each = found->second;
    const bool probeLost = each.probing && now - each.probeSentAt >= m_settings.probeTimeout;
    return {.ejected = true, .probeAllowed = now >= each.ejectedUntil && (!each.probing || probeLost)};
}

void circuit_breaker::forget(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end()) {
        m_ejected -= found->second.ejected ? 1 : 0;
        m_records.erase(found);
    }
}

} // namespace bronzechute
