#pragma once

#include "balance/room_state.h"
#include "base/boot_clock.h"

#include <random>

namespace bronzechute {

/**
 * Bounds how many slots a gateway takes before it hears what the others have taken, while more requests wait at all
 * gateways than there is room. Each of them sees the same room, and together they would fill it several times over. A
 * gateway gets the part of the room that the requests waiting there are of all, and the slots that its own requests
 * leave: those would be free until the others hear of them.
 */
class room_share
{
public:
    /** @returns whether the gateway may take a slot now. */
    bool allows(const room_state &state, time_point now, std::mt19937_64 &random);

    /** Records that a slot was taken. */
    void recordTaken();

    /** Records that a request of this gateway has ended. Only this gateway knows at once that the slot is free. */
    void recordFreed();

private:
    time_point m_intervalStart {};
    double m_left = 0; ///< Slots that may be taken until the end of the interval.
};

} // namespace bronzechute
