#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/**
 * Bounds how many requests a gateway starts at a rank group before it hears what the others have started. It answers
 * the load pattern of a limit that rises, or of engines that become free, while requests wait at all gateways: each of
 * them sees the same room, and together they would fill it several times over.
 */
class room_share
{
public:
    /**
     * @param room requests that the group may still start, as far as this gateway knows
     * @param gateways number of gateways that start requests at the group
     * @returns whether this gateway may start another one
     */
    bool allows(double room, int gateways, time_point now);

    /** Records that a request was started. */
    void take();

private:
    time_point m_intervalStart {};
    double m_left = 0;
};

} // namespace bronzechute
