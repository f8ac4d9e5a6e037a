#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <random>

namespace bronzechute {

/**
 * Bounds how many requests a gateway starts in the room that a rank group has left below its limit, before it hears
 * what the other gateways have started. It answers the load pattern of requests that wait, or are urgent, at all
 * gateways: each of them sees the same room, and together they would fill it several times over.
 */
class group_room_share
{
public:
    /** @param seed should differ between gateways, so that fractions are not rounded up by all of them at once */
    explicit group_room_share(std::uint64_t seed = 1) : m_random(seed)
    {
    }

    /**
     * @param room requests that the group may still start, as far as this gateway knows; may be negative
     * @param share of this gateway in the requests of all gateways, 0 to 1
     * @returns whether this gateway may start another one
     */
    bool allows(double room, double share, time_point now);

    /** Records that a request was started. */
    void take();

private:
    std::mt19937_64 m_random;
    time_point m_renewedAt {};
    bool m_hadRoom = false; ///< At the last renewal.
    double m_left = 0;
};

/**
 * @param own requests of this gateway
 * @param all requests of all gateways
 * @returns the share of a gateway in what waits at all gateways, estimated by what it runs
 */
double shareOfRoom(int own, int all, int gateways);

} // namespace bronzechute
