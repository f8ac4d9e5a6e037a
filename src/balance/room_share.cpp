#include "balance/room_share.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

// Time until the other gateways know what this one has taken.
constexpr std::chrono::milliseconds reportTime {100};

/** @returns whether there is room for all, or nothing is known of requests that wait elsewhere. */
bool isUndivided(const room_state &state)
{
    return state.waitingElsewhere <= 0 || state.room >= state.waitingHere + state.waitingElsewhere;
}

double partHere(const room_state &state)
{
    const double here = std::max(1, state.waitingHere);
    return here / (here + state.waitingElsewhere);
}

/** @returns a whole number whose mean is the value. */
double drawWhole(double value, std::mt19937_64 &random)
{
    const double whole = std::floor(value);
    return whole + (std::uniform_real_distribution<double>(0, 1)(random) < value - whole ? 1 : 0);
}

} // namespace

bool room_share::allows(const room_state &state, time_point now, std::mt19937_64 &random)
{
    if (isUndivided(state)) {
        return true;
    }
    if (now - m_intervalStart >= reportTime) {
        m_intervalStart = now;
        m_left = drawWhole(std::max(0.0, state.room) * partHere(state), random);
    }
    return m_left >= 1;
}

void room_share::recordTaken()
{
    m_left = std::max(0.0, m_left - 1);
}

void room_share::recordFreed()
{
    m_left += 1;
}

} // namespace bronzechute
