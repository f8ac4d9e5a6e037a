#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** What a stream needs of an endpoint. */
struct stream_demand
{
    double events = 0; ///< Expected number of events that are still to come.
    time_point deadline {}; ///< The stream has to be complete by then.

    friend bool operator==(const stream_demand &, const stream_demand &) = default;
};

/**
 * Decides whether a stream can be served where events follow at this interval. It answers the load pattern of a rank
 * group that one engine slows down so much that its streams reach their deadline: those that cannot complete would take
 * the slots of those that can, and their callers would learn it only at the deadline.
 *
 * @param eventInterval the shortest recent one, so that a short slowdown rejects nothing
 * @returns false if the stream would clearly miss its deadline when it starts now
 */
bool canComplete(const stream_demand &demand, boot_clock::duration eventInterval, time_point now);

} // namespace bronzechute
