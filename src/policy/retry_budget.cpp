#include "policy/retry_budget.h"

#include <algorithm>

namespace bronzechute {
namespace {

// Unused budget accumulates up to these limits. Higher ones would allow a burst of retries after a long idle time.
constexpr double maxTokens = 20;
constexpr double maxFloorTokens = 3;

} // namespace

retry_budget::retry_budget(double share, double floorPerSecond) : m_share(share), m_floorPerSecond(floorPerSecond)
{
}

void retry_budget::refill(time_point now)
{
    if (now > m_refilledAt) {
        const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_floorTokens = std::min(maxFloorTokens, m_floorTokens + elapsed * m_floorPerSecond);
        m_refilledAt = now;
    }
}

void retry_budget::onRequest(time_point now)
{
    refill(now);
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool retry_budget::tryTake(time_point now)
{
    refill(now);
    for (double *tokens : {&m_tokens, &m_floorTokens}) {
        if (*tokens >= 1) {
            *tokens -= 1;
            return true;
        }
    }
    return false;
}

} // namespace bronzechute
