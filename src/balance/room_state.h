#pragma once

namespace bronzechute {

/** Free slots of a service, and how many requests of all gateways wait for them. */
struct room_state
{
    double room = 0; ///< Slots that are free, as far as this gateway knows.
    int waitingHere = 0;
    int waitingElsewhere = 0;

    friend bool operator==(const room_state &, const room_state &) = default;
};

} // namespace bronzechute
