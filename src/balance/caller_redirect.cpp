#include "balance/caller_redirect.h"

#include <algorithm>

namespace bronzechute {

namespace {

// The load balancer checks readiness every second and removes a gateway after two consecutive negative results.
constexpr std::chrono::milliseconds balancerDetectionDelay {2100};
// Upper bound of the jitter that keeps refused callers from retrying at the other gateways at the same moment.
constexpr int maxRedirectJitterMs = 250;
constexpr std::chrono::milliseconds minRedirectDelay {50};

} // namespace

bool caller_redirect::update(bool cutOff, bool serviceFails, time_point now)
{
    const bool active = cutOff && serviceFails;
    if (active == m_active) {
        return false;
    }
    m_active = active;
    m_activeSince = now;
    return true;
}

std::chrono::milliseconds caller_redirect::retryDelay(time_point now, boot_clock::duration latest,
                                                      std::mt19937_64 &random) const
{
    const std::chrono::milliseconds jitter(std::uniform_int_distribution<int>(0, maxRedirectJitterMs)(random));
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_activeSince + balancerDetectionDelay - now);
    const auto bound = std::chrono::duration_cast<std::chrono::milliseconds>(latest);
    return std::max(minRedirectDelay, std::min(std::max(wait, std::chrono::milliseconds(0)) + jitter, bound));
}

} // namespace bronzechute
