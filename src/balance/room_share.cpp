#include "balance/room_share.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Gateways report their loads to each other at least this often while they change.
constexpr std::chrono::milliseconds reportInterval {100};
// Room that one gateway takes, as a multiple of an equal share: requests do not wait evenly at all of them.
constexpr double shareFactor = 2.0;

} // namespace

bool room_share::allows(double room, int gateways, time_point now)
{
    if (room < 1.0) {
        return false;
    }
    if (now - m_intervalStart >= reportInterval) {
        m_intervalStart = now;
        m_left = std::max(1.0, shareFactor * room / std::max(1, gateways));
    }
    return m_left >= 1.0;
}

void room_share::take()
{
    m_left -= 1.0;
}

} // namespace bronzechute
