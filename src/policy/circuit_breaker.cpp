#include "policy/circuit_breaker.h"

#include <algorithm>
#include <vector>

namespace bronzechute {
namespace {

constexpr double paceSmoothing = 0.2; // Weight of one answer in the smoothed pace.
constexpr std::size_t fewestPeers = 3; // With fewer peers, a median says little about who is slow.

} // namespace

circuit_breaker::circuit_breaker(const breaker_settings &settings) : m_settings(settings)
{
}

void circuit_breaker::setPoolSize(std::size_t size)
{
    m_poolSize = size;
}

circuit_breaker::record &circuit_breaker::at(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() ? found->second : m_records[std::string(endpoint)];
}

void circuit_breaker::onSent(time_point now, std::string_view endpoint)
{
    record &each = at(endpoint);
    if (each.ejected) {
        each.probing = true;
        each.probeSentAt = now;
    }
}

void circuit_breaker::onAnswered(time_point now, std::string_view endpoint, double paceMs)
{
    record &each = at(endpoint);
    each.failures = 0;
    if (each.ejected) {
        // Answers to requests sent before the ejection arrive too; only the probe shows the present state.
        if (each.probing) {
            each.ejected = false;
            each.probing = false;
            each.samples = 0;
            --m_ejected;
        }
        return;
    }
    each.paceMs = each.samples == 0 ? paceMs : each.paceMs + paceSmoothing * (paceMs - each.paceMs);
    ++each.samples;
    if (each.samples >= m_settings.lagSamples) {
        if (lags(each)) {
            eject(now, each);
        } else {
            each.ejections = 0;
        }
    }
}

void circuit_breaker::onFailed(time_point now, std::string_view endpoint)
{
    record &each = at(endpoint);
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
    at(endpoint).probing = false;
}

void circuit_breaker::eject(time_point now, record &endpoint)
{
    if (static_cast<double>(m_ejected + 1) > m_settings.mostEjected * static_cast<double>(m_poolSize)) {
        return; // The failure is probably common to the pool; ejecting more would only overload the rest.
    }
    endpoint.ejected = true;
    endpoint.probing = false;
    const auto time = m_settings.firstEjection * (1 << std::min(endpoint.ejections, 10));
    endpoint.until = now + std::min<std::chrono::milliseconds>(time, m_settings.longestEjection);
    ++endpoint.ejections;
    ++m_ejected;
}

bool circuit_breaker::lags(const record &endpoint) const
{
    std::vector<double> paces;
    for (const auto &[name, each] : m_records) {
        if (&each != &endpoint && !each.ejected && each.samples >= m_settings.lagSamples) {
            paces.push_back(each.paceMs);
        }
    }
    if (paces.size() < fewestPeers) {
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
    return {.ejected = true, .probeAllowed = now >= each.until && (!each.probing || probeLost)};
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
