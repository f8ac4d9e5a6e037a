#pragma once

#include <optional>

namespace bronzechute {

/** Load of a rank group beside the load with which its streams are in time. */
struct group_room
{
    double running = 0; ///< Requests of all gateways.
    std::optional<double> limit; ///< Requests with which most of its streams are in time; nothing: all slots.
    bool canBeInTime = true; ///< False if most of its streams are late with any number of requests.
    bool serves = true; ///< Whether it accepts requests, now or once a slot is free.
    bool hasFreeSlot = true; ///< Whether one of its endpoints takes the request now.
    bool mayFill = true; ///< Whether this gateway has some of the room below the limit left, see group_room_share.

    friend bool operator==(const group_room &, const group_room &) = default;
};

} // namespace bronzechute
