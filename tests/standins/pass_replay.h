#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bronzechute::standins {

/** What bounds the requests that a rank group runs in a replay. */
enum class replay_limit {
    measured, ///< Each gateway's own pass_latency_limiter.
    all_slots, ///< Nothing but the slots.
    fixed, ///< A given limit, with knowledge of all requests of all gateways; the rest waits.
};

/** A load of streams at rank groups whose demand for experts shifts. */
struct pass_pattern
{
    std::size_t gateways = 12;
    double load = 1; ///< Of the usual rates.
    double burst = 2.3; ///< Factor of the least urgent kind's rate from second 4.3 on, for 6.4 s.
    double urgentBurst = 1.7; ///< Factor of the most urgent kind's rate from second 13 on, for 3.6 s.
    double shiftedSkew = 2.0; ///< Pass length as a multiple of the modelled one, at the end of a shift.
    double slowness = 1; ///< Of all passes.
    double slowGroup = 1; ///< Of the passes of one group from second 6 on, for 6 s, as with a slow rank.
    bool gatewayRestarts = false; ///< One forgets the passes at second 8.
    bool gatewayCutOff = false; ///< One hears and is heard by no other from second 5 on, for 5 s.
    bool groupReturns = false; ///< One takes no requests from second 4 on, for 5 s.
    std::chrono::milliseconds laterGapTarget {120}; ///< Accepted gap from second 10 on; 120 ms before.
};

/** What the callers of one kind of request got. */
struct replayed_kind
{
    int asked = 0;
    int inTime = 0; ///< First event within its target, and no gap beyond the accepted one.
    int served = 0; ///< Answered whole, also late.

    double inTimeShare() const
    {
        return asked == 0 ? 0.0 : static_cast<double>(inTime) / asked;
    }
};

struct pass_replay_result
{
    std::array<replayed_kind, 3> kinds; ///< Most urgent first.

    int inTime() const
    {
        return kinds[0].inTime + kinds[1].inTime + kinds[2].inTime;
    }
    int served() const
    {
        return kinds[0].served + kinds[1].served + kinds[2].served;
    }
    int asked() const
    {
        return kinds[0].asked + kinds[1].asked + kinds[2].asked;
    }
};

/**
 * Plays streams of three priorities against emulated rank groups, which compute in passes, and against gateways, in
 * simulated time. The load has the rates, bursts and shifts of expert demand of a deployment with three groups of 24
 * ranks. The same arguments give the same result.
 *
 * @param fixedLimit requests per rank, with replay_limit::fixed
 */
pass_replay_result replayPasses(const pass_pattern &pattern, replay_limit limit, double fixedLimit, std::uint64_t seed);

} // namespace bronzechute::standins
