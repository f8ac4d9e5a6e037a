#include "balance/caller_redirect.h"

#include <algorithm>

namespace bronzechute {

namespace {

// The balancer asks every second and leaves a gateway out after two answers of not being ready.
constexpr std::chrono::milliseconds balancerDelay {2100};
// Returns are spread, so that the other gateways do not get them all together.
constexpr int largestSpreadMs = 250;
constexpr std::chrono::milliseconds shortest {50};

} // namespace

bool caller_redirect::update(bool cutOff, bool serviceFails, time_point now)
{
    const bool active = cutOff && serviceFails;
    if (active == m_active) {
        return false;
    }
    m_active = active;
    m_since = now;
    return true;
}

std::chrono::milliseconds caller_redirect::returnAfter(time_point now, boot_clock::duration latest,
                                                       std::mt19937_64 &random) const
{
    const std::chrono::milliseconds spread(std::uniform_int_distribution<int>(0, largestSpreadMs)(random));
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_since + balancerDelay - now);
    const auto bound = std::chrono::duration_cast<std::chrono::milliseconds>(latest);
    return std::max(shortest, std::min(std::max(wait, std::chrono::milliseconds(0)) + spread, bound));
}

} // namespace bronzechute
