#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** What is known about a rank group when it may be time to plan another map for it. */
struct switch_occasion
{
    bool demandKnown = false; ///< Whether there is a recent estimate of the demand.
    bool formedAnew = false; ///< The group formed anew, and the demand before that is still assumed to hold.
    bool initialMap = false; ///< Whether it uses the map with which it formed.
    bool slow = false; ///< Whether its passes come near the accepted pause.
    time_point changedAt {}; ///< When the demand or the speed of a rank last changed considerably.

    friend bool operator==(const switch_occasion &, const switch_occasion &) = default;
};

/** Decides when another map is planned for a rank group; whether it is used depends on what the plan gains. */
class switch_schedule
{
public:
    bool isDue(const switch_occasion &occasion, time_point now) const;

    /** @param found whether a map was found that is worth the change */
    void onPlanned(bool found, time_point now);

    /** A switch ended. */
    void onEnded(time_point now);

private:
    time_point m_plannedAt {};
    time_point m_changedAt {}; ///< When the last switch ended or was last planned.
    boot_clock::duration m_interval {}; ///< Until the next plan, unless something changes.
};

} // namespace bronzechute
