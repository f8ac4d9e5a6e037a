#include "balance/group_room_share.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

// Mean age of the other gateways' loads. Within it, the same room is seen again.
constexpr std::chrono::milliseconds renewalInterval {40};
// The same room is seen for longer than the interval, until the last report of what was started in it has arrived.
constexpr double usableShare = 0.6;
// Of an equal share, for a gateway that runs little because its callers have just arrived.
constexpr double minShare = 0.5;

} // namespace

bool group_room_share::allows(double room, double share, time_point now)
{
    if (now - m_renewedAt >= renewalInterval || !m_hadRoom) { // Without room, nothing was started in it.
        m_renewedAt = now;
        m_hadRoom = room > 0;
        const double part = usableShare * std::max(0.0, room) * share;
        const double whole = std::floor(part);
        // A fraction is a request with that probability, so that the gateways together start as many as there is room.
        m_left = whole + (std::uniform_real_distribution<double>(0, 1)(m_random) < part - whole ? 1 : 0);
    }
    return m_left >= 1;
}

void group_room_share::take()
{
    m_left -= 1;
}

double shareOfRoom(int own, int all, int gateways)
{
    const double least = minShare / std::max(1, gateways);
    return all <= 0 ? std::max(least, 1.0 / std::max(1, gateways))
                    : std::clamp(static_cast<double>(own) / all, least, 1.0);
}

} // namespace bronzechute
