#include "expert_map/straggler_detector.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

straggler_detector::straggler_detector(std::size_t ranks, const straggler_settings &settings)
    : m_settings(settings), m_secondsPerToken(ranks, 0.0), m_tokens(ranks, 0.0), m_verySlow(ranks, 0)
{
}

void straggler_detector::report(const std::vector<double> &busySeconds, const std::vector<double> &tokens)
{
    for (std::size_t rank = 0; rank < m_tokens.size(); ++rank) {
        if (busySeconds[rank] <= 0 || tokens[rank] <= 0) {
            continue;
        }
        const double weight = m_secondsPerToken[rank] == 0 ? 1.0 : m_settings.weight;
        m_secondsPerToken[rank] += weight * (busySeconds[rank] / tokens[rank] - m_secondsPerToken[rank]);
        m_tokens[rank] += weight * (tokens[rank] - m_tokens[rank]);
    }
    const auto factors = slowness();
    for (std::size_t rank = 0; rank < factors.size(); ++rank) {
        m_verySlow[rank] = factors[rank] >= m_settings.replaceFactor ? m_verySlow[rank] + 1 : 0;
    }
}

std::vector<double> straggler_detector::slowness() const
{
    std::vector<double> known;
    std::copy_if(m_secondsPerToken.begin(), m_secondsPerToken.end(), std::back_inserter(known),
                 [](double seconds) { return seconds > 0; });
    std::vector<double> factors(m_secondsPerToken.size(), 1.0);
    if (known.empty()) {
        return factors;
    }
    // The lower median, so that with few ranks a single slow rank does not become the reference.
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    for (std::size_t rank = 0; rank < factors.size(); ++rank) {
        if (m_secondsPerToken[rank] > 0) {
            factors[rank] = m_secondsPerToken[rank] / *middle;
        }
    }
    return factors;
}

std::vector<straggler_verdict> straggler_detector::verdicts() const
{
    const auto factors = slowness();
    const auto slow = static_cast<double>(
        std::count_if(factors.begin(), factors.end(), [&](double factor) { return factor >= m_settings.slowFactor; }));
    const bool many = slow > 1 && slow >= m_settings.manyShare * static_cast<double>(factors.size());
    const double mean = std::accumulate(m_tokens.begin(), m_tokens.end(), 0.0) / static_cast<double>(m_tokens.size());
    std::vector<straggler_verdict> verdicts(factors.size(), straggler_verdict::normal);
    for (std::size_t rank = 0; rank < factors.size(); ++rank) {
        if (factors[rank] >= m_settings.slowFactor) {
            verdicts[rank] = many                             ? straggler_verdict::slow_alert_operator
                : m_verySlow[rank] >= m_settings.replaceAfter ? straggler_verdict::slow_replace
                                                              : straggler_verdict::slow_shift_load;
        } else if (m_tokens[rank] > m_settings.hotFactor * mean) {
            verdicts[rank] = straggler_verdict::hot_experts;
        }
    }
    return verdicts;
}

std::vector<double> straggler_detector::speeds() const
{
    auto factors = slowness();
    for (auto &factor : factors) {
        factor = factor >= m_settings.slowFactor ? 1 / factor : 1.0;
    }
    return factors;
}

void straggler_detector::reset(std::size_t rank)
{
    m_secondsPerToken[rank] = 0;
    m_tokens[rank] = 0;
    m_verySlow[rank] = 0;
}

} // namespace bronzechute
