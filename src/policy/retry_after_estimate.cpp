#include "policy/retry_after_estimate.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

std::chrono::seconds retryAfterEstimate(int queued, int limit, double meanServiceMs, std::mt19937_64 &random)
{
    constexpr double maxDelaySeconds = 60;
    const double serviceSeconds = meanServiceMs > 0 ? meanServiceMs / 1000 : 1;
    const double drainSeconds = (std::max(0, queued) + 1) * serviceSeconds / std::max(1, limit);
    const double jitterFactor = std::uniform_real_distribution<double>(0.75, 1.25)(random);
    return std::chrono::seconds(
        static_cast<int>(std::clamp(std::ceil(drainSeconds * jitterFactor), 1.0, maxDelaySeconds)));
}

} // namespace bronzechute
